package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"citrontray.example/citrontray/internal/docsync"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/settings"
)

// writeTimeout bounds how long a write waits for a lost answer to be resolved.
const writeTimeout = 10 * time.Second

// bootstrapName is how the first operator stands in the history.
const bootstrapName = "bootstrap"

// ServerConfig sets up a Server.
type ServerConfig struct {
	Store platform.Store
	// Replica gives the settings where the store is out; it may be nil.
	Replica docsync.Replica
	// Bootstrap is the hash of the credential that may write everything for
	// as long as the settings hold no delegation below platform. Zero: none.
	Bootstrap [32]byte
	Log       *slog.Logger
}

// maxRequests bounds the requests that one host answers at the same time.
const maxRequests = 64

// errTooManyRequests is the cause of a refusal where maxRequests are under way.
var errTooManyRequests = errors.New("too many operators at this host")

// Server answers the operators' API.
type Server struct {
	config    ServerConfig
	committer *settings.Committer
	inFlight  chan struct{}
}

// NewServer returns a server.
func NewServer(config ServerConfig) *Server {
	return &Server{
		config:    config,
		committer: settings.NewCommitter(config.Store),
		inFlight:  make(chan struct{}, maxRequests),
	}
}

// Register adds the API's routes to r.
func (s *Server) Register(r *mux.Router) {
	r.HandleFunc(pathSettings, s.limitConcurrency(s.read)).Methods(http.MethodGet)
	r.HandleFunc(pathSettings, s.limitConcurrency(s.write)).Methods(http.MethodPost)
}

// limitConcurrency refuses a request while too many are under way.
func (s *Server) limitConcurrency(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case s.inFlight <- struct{}{}:
			defer func() { <-s.inFlight }()
			next(w, r)
		default:
			writeError(w, fmt.Errorf("%w: %w", settings.ErrNotAccepted, errTooManyRequests))
		}
	}
}

// read answers with what the bearer may see.
func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	current, err := s.committer.Load(r.Context())
	local := err != nil
	if local {
		if current = s.localSettings(); current == nil {
			writeError(w, err)
			return
		}
	}
	who, err := s.authenticate(current, bearer(r))
	if err != nil {
		writeError(w, err)
		return
	}
	view := filterView(fullView(current), who)
	view.Local = local
	writeJSON(w, http.StatusOK, toWireView(view))
}

// localSettings returns the settings as this process has them from the watchers and
// its peers, or nil.
func (s *Server) localSettings() *settings.Settings {
	if s.config.Replica == nil {
		return nil
	}
	doc, ok := s.config.Replica.Get(docsync.Settings)
	if !ok {
		return nil
	}
	local, err := settings.Decode(doc.Body)
	if err != nil {
		return nil
	}
	local.Revision = platform.Revision(doc.Version.Major)
	return local
}

// write commits one order in the bearer's name.
func (s *Server) write(w http.ResponseWriter, r *http.Request) {
	credential := bearer(r)
	var in wireWriteRequest
	body := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes))
	if err := body.Decode(&in); err != nil {
		writeJSON(w, http.StatusUnprocessableEntity, wireError{Code: codeFindings, Text: "body is not an order"})
		return
	}
	order := WriteRequest{ID: in.ID, File: []byte(in.File), Rollback: in.Rollback, Below: in.Below, Expect: in.Expect, Reason: in.Reason, DryRun: in.DryRun}
	// The write goes on where the operator's connection ends: its outcome
	// stands in the history, under the order's id.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), writeTimeout)
	defer cancel()
	out, err := commit(ctx, s.committer, order, func(current *settings.Settings) (principal, error) {
		return s.authenticate(current, credential)
	})
	if err != nil {
		s.config.Log.Info("write refused", slog.String("id", in.ID), slog.String("error", err.Error()))
		writeError(w, err)
		return
	}
	if !in.DryRun {
		s.config.Log.Info("write accepted", slog.String("id", in.ID), slog.Uint64("number", out.Number))
	}
	writeJSON(w, http.StatusOK, toWireWriteResult(out))
}

// authenticate finds whose credential it is in the settings in force.
func (s *Server) authenticate(current *settings.Settings, credential string) (principal, error) {
	if credential == "" {
		return principal{}, &DeniedError{Text: "no credential"}
	}
	if d, ok := current.Operator(credential); ok {
		return principal{name: d.Operator, below: d.Below}, nil
	}
	if s.config.Bootstrap != [32]byte{} && settings.HashCredential(credential) == s.config.Bootstrap && !current.HasPlatformOperator() {
		return principal{name: bootstrapName, below: []settings.Path{""}}, nil
	}
	return principal{}, &DeniedError{Text: "unknown credential"}
}

// filterView keeps what lies below the subtrees of who.
func filterView(v View, who principal) View {
	v.Items = slices.DeleteFunc(slices.Clone(v.Items), func(i settings.Item) bool { return !who.allows(i.Path) })
	var history []settings.Write
	for _, w := range v.History {
		seen := settings.Write{ID: w.ID, Number: w.Number, At: w.At, By: w.By, Reason: w.Reason}
		for i, p := range w.Paths {
			if who.allows(p) {
				seen.Paths = append(seen.Paths, p)
				seen.Before = append(seen.Before, w.Before[i])
			}
		}
		// A write that changed nothing is shown to its writer and to those who
		// see all.
		own := len(w.Paths) == 0 && (w.By == who.name || who.allows("platform") && who.allows("teams"))
		if len(seen.Paths) > 0 || own {
			history = append(history, seen)
		}
	}
	v.History = history
	return v
}

// bearer returns the request's bearer credential.
func bearer(r *http.Request) string {
	credential, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return credential
}

func writeError(w http.ResponseWriter, err error) {
	status, body := toWireError(err)
	writeJSON(w, status, body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
