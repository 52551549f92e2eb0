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

// writeTimeout limits how long a write waits for a lost response to be resolved.
const writeTimeout = 10 * time.Second

// bootstrapName is the name of the bootstrap operator in the history.
const bootstrapName = "bootstrap"

// ServerConfig configures a Server.
type ServerConfig struct {
	Store platform.Store
	// Replica provides the settings while the store is unavailable; it may be nil.
	Replica docsync.Replica
	// Bootstrap is the hash of the credential that may write everything until a
	// delegation covers all of platform. Zero means none.
	Bootstrap [32]byte
	Log       *slog.Logger
}

// maxRequests bounds the requests in flight at one host.
const maxRequests = 64

// errTooManyRequests is the reason for refusing a request beyond maxRequests.
var errTooManyRequests = errors.New("too many requests in flight at this host")

// Server serves the operators' API.
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

// Register adds the routes of the API to r.
func (s *Server) Register(r *mux.Router) {
	r.HandleFunc(pathSettings, s.limitConcurrency(s.read)).Methods(http.MethodGet)
	r.HandleFunc(pathSettings, s.limitConcurrency(s.write)).Methods(http.MethodPost)
}

// limitConcurrency refuses requests beyond maxRequests in flight.
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

// read responds with the settings that the bearer may see.
func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	current, err := s.committer.Load(r.Context())
	local := err != nil
	if local {
		if current = s.localSettings(); current == nil {
			writeError(w, err)
			return
		}
	}
	viewer, err := s.authenticate(current, bearer(r))
	if err != nil {
		writeError(w, err)
		return
	}
	view := filterView(fullView(current), viewer)
	view.Local = local
	writeJSON(w, http.StatusOK, toWireView(view))
}

// localSettings returns the settings in this process's documents, or nil if there are none.
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

// write commits a write in the name of the bearer.
func (s *Server) write(w http.ResponseWriter, r *http.Request) {
	credential := bearer(r)
	var in wireWriteRequest
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes))
	if err := decoder.Decode(&in); err != nil {
		writeJSON(w, http.StatusUnprocessableEntity, wireError{Code: codeFindings, Text: "body is not a write request"})
		return
	}
	request := WriteRequest{ID: in.ID, File: []byte(in.File), Rollback: in.Rollback, Below: in.Below, Expect: in.Expect, Reason: in.Reason, DryRun: in.DryRun}
	// The write continues if the operator disconnects. Its outcome is in the history
	// under the request's ID.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), writeTimeout)
	defer cancel()
	out, err := commit(ctx, s.committer, request, func(current *settings.Settings) (principal, error) {
		return s.authenticate(current, credential)
	})
	if err != nil {
		s.config.Log.Info("Write failed.", slog.String("id", in.ID), slog.String("error", err.Error()))
		writeError(w, err)
		return
	}
	if !in.DryRun {
		s.config.Log.Info("Write accepted.", slog.String("id", in.ID), slog.Uint64("number", out.Number))
	}
	writeJSON(w, http.StatusOK, toWireWriteResult(out))
}

// authenticate returns the principal of a credential according to the given settings.
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

// filterView removes the settings and the history that the viewer's subtrees do not cover.
func filterView(v View, viewer principal) View {
	v.Items = slices.DeleteFunc(slices.Clone(v.Items), func(i settings.Item) bool { return !viewer.allows(i.Path) })
	var history []settings.Write
	for _, w := range v.History {
		seen := settings.Write{ID: w.ID, Number: w.Number, At: w.At, By: w.By, Reason: w.Reason}
		for i, p := range w.Paths {
			if viewer.allows(p) {
				seen.Paths = append(seen.Paths, p)
				seen.Before = append(seen.Before, w.Before[i])
			}
		}
		// A write without changes is shown to its writer and to those who may see
		// everything.
		own := len(w.Paths) == 0 && (w.By == viewer.name || viewer.allows("platform") && viewer.allows("teams"))
		if len(seen.Paths) > 0 || own {
			history = append(history, seen)
		}
	}
	v.History = history
	return v
}

// bearer returns the bearer credential of a request.
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
