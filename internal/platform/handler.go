package platform

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"citrontray.example/citrontray/internal/place"
)

// Caller identifies the host that makes a call to the platform.
type Caller struct {
	Host place.Host
	Zone place.Zone
}

// callerKey is the context key of the Caller.
type callerKey struct{}

// CallerOf returns the caller of the request that ctx belongs to.
func CallerOf(ctx context.Context) Caller {
	caller, _ := ctx.Value(callerKey{}).(Caller)
	return caller
}

// NewHandler serves store in the protocol that Client speaks, for a fake
// platform. ErrUnavailable of the store becomes a refusal; any error other than
// a conflict or a missing value leaves the outcome unknown to the client.
func NewHandler(store Store) http.Handler {
	h := handler{store: store}
	r := mux.NewRouter()
	r.HandleFunc(pathGet, serve(h.get))
	r.HandleFunc(pathList, serve(h.list))
	r.HandleFunc(pathWrite, serve(h.write))
	r.HandleFunc(pathDelete, serve(h.delete))
	r.HandleFunc(pathWatch, serve(h.watch))
	r.HandleFunc(pathAcquire, serve(h.acquire))
	r.HandleFunc(pathRelease, serve(h.release))
	r.HandleFunc(pathFleet, serve(h.fleet))
	return r
}

// handler maps requests to the calls of a Store.
type handler struct{ store Store }

func (h handler) get(ctx context.Context, in wirePath) (wireEntry, error) {
	entry, err := h.store.Get(ctx, Path(in.Path))
	return toWireEntry(entry, false), err
}

func (h handler) list(ctx context.Context, in wirePath) (wireList, error) {
	entries, revision, err := h.store.List(ctx, Path(in.Path))
	return toWireList(entries, revision), err
}

func (h handler) write(ctx context.Context, in wireWrite) (wireRevision, error) {
	revision, err := h.store.Write(ctx, Path(in.Path), in.Value, Revision(in.Expect))
	return wireRevision{Revision: uint64(revision)}, err
}

func (h handler) delete(ctx context.Context, in wireWrite) (wireRevision, error) {
	return wireRevision{}, h.store.Delete(ctx, Path(in.Path), Revision(in.Expect))
}

func (h handler) watch(ctx context.Context, in wireWatch) (wireList, error) {
	changes, revision, err := h.store.Watch(ctx, Path(in.Prefix), Revision(in.From))
	return toWireChanges(changes, revision), err
}

func (h handler) acquire(ctx context.Context, in wireLease) (wireLease, error) {
	lease, err := h.store.Acquire(ctx, in.Name, in.Holder, time.Duration(in.TTL))
	return toWireLease(lease), err
}

func (h handler) release(ctx context.Context, in wireLease) (wireLease, error) {
	return wireLease{}, h.store.Release(ctx, in.Name, in.Holder)
}

func (h handler) fleet(ctx context.Context, _ struct{}) (wireFleet, error) {
	fleet, err := h.store.Fleet(ctx)
	return toWireFleet(fleet), err
}

// serve decodes a request, makes the call and encodes the response.
func serve[In, Out any](call func(context.Context, In) (Out, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		var in In
		if err == nil {
			err = json.Unmarshal(body, &in)
		}
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		caller := Caller{Host: place.Host(r.Header.Get(headerHost)), Zone: place.Zone(r.Header.Get(headerZone))}
		out, err := call(context.WithValue(r.Context(), callerKey{}, caller), in)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, out)
	}
}

func writeError(w http.ResponseWriter, err error) {
	var conflict *ConflictError
	switch {
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusConflict, wireRevision{Revision: uint64(conflict.Current)})
	case errors.Is(err, ErrNotFound):
		w.WriteHeader(http.StatusNotFound)
	case errors.Is(err, ErrUnavailable):
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusInternalServerError)
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(body)
}
