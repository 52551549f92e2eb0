package host

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"citrontray.example/citrontray/internal/quarantine"
	"citrontray.example/citrontray/internal/status"
)

// serveDecision carries out an operator's decision on a request.
func (q *quarantiner) serveDecision(w http.ResponseWriter, r *http.Request) {
	vars := mux.Vars(r)
	f, err := quarantine.ParseFingerprint(vars["fingerprint"])
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	now := time.Now()
	switch vars["action"] {
	case quarantine.ActionForbid:
		q.table.Forbid(now, f)
		q.host.log.Warn("Request forbidden by an operator.", slog.String("fingerprint", f.String()), slog.String("from", r.RemoteAddr))
	case quarantine.ActionLift:
		if !q.table.Lift(now, f) {
			http.Error(w, "nothing is held against the request", http.StatusNotFound)
			return
		}
		q.host.log.Warn("Quarantine of a request lifted by an operator.", slog.String("fingerprint", f.String()), slog.String("from", r.RemoteAddr))
	default:
		http.Error(w, "unknown action", http.StatusNotFound)
		return
	}
	q.notify()
	q.saver.save(f)
}

// quarantined returns the requests that this host refuses.
func (q *quarantiner) quarantined(now time.Time) []status.Quarantined {
	records := q.table.Refused(now)
	out := make([]status.Quarantined, 0, len(records))
	for _, r := range records {
		row := status.Quarantined{
			Fingerprint: r.Fingerprint.String(), Service: string(r.Service), Ends: int(r.Ends), Since: now.Add(-r.Age),
			Forbidden: r.Ends == quarantine.Forbidden,
		}
		for _, name := range targetNames(r.Last) {
			row.Targets = append(row.Targets, string(name))
		}
		if v, ok := q.table.Verdict(now, r.Fingerprint).(quarantine.Refused); ok && v.Left > 0 {
			row.Until = now.Add(v.Left)
		}
		out = append(out, row)
	}
	return out
}
