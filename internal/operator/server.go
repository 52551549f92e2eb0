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
	// Board gives the settings where the store is out; it may be nil.
	Board docsync.Replica
	// Bootstrap is the hash of the credential that may write everything for
	// as long as the settings hold no delegation below platform. Zero: none.
	Bootstrap [32]byte
	Log       *slog.Logger
}

// maxRequests bounds the requests that one host answers at the same time.
const maxRequests = 64

// errBusy is the cause of a refusal where maxRequests are under way.
var errBusy = errors.New("too many operators at this host")

// Server answers the operators' API.
type Server struct {
	config    ServerConfig
	committer *settings.Committer
	running   chan struct{}
}

// NewServer returns a server.
func NewServer(config ServerConfig) *Server {
	return &Server{
		config:    config,
		committer: settings.NewCommitter(config.Store),
		running:   make(chan struct{}, maxRequests),
	}
}

// Register adds the API's routes to r.
func (s *Server) Register(r *mux.Router) {
	r.HandleFunc(pathSettings, s.bounded(s.read)).Methods(http.MethodGet)
	r.HandleFunc(pathSettings, s.bounded(s.write)).Methods(http.MethodPost)
}

// bounded refuses a request while too many are under way.
func (s *Server) bounded(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case s.running <- struct{}{}:
			defer func() { <-s.running }()
			next(w, r)
		default:
			answerError(w, fmt.Errorf("%w: %w", settings.ErrNotAccepted, errBusy))
		}
	}
}

// read answers with what the bearer may see.
func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	current, err := s.committer.Load(r.Context())
	local := err != nil
	if local {
		if current = s.local(); current == nil {
			answerError(w, err)
			return
		}
	}
	who, err := s.identify(current, bearer(r))
	if err != nil {
		answerError(w, err)
		return
	}
	view := visible(viewOf(current), who)
	view.Local = local
	answer(w, http.StatusOK, toWireView(view))
}

// local returns the settings as this process has them from the watchers and
// its peers, or nil.
func (s *Server) local() *settings.Settings {
	if s.config.Board == nil {
		return nil
	}
	doc, ok := s.config.Board.Get(docsync.Settings)
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
	var in wireOrder
	body := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes))
	if err := body.Decode(&in); err != nil {
		answer(w, http.StatusUnprocessableEntity, wireError{Code: codeFindings, Text: "body is not an order"})
		return
	}
	order := Order{ID: in.ID, File: []byte(in.File), Rollback: in.Rollback, Below: in.Below, Expect: in.Expect, Reason: in.Reason, DryRun: in.DryRun}
	// The write goes on where the operator's connection ends: its outcome
	// stands in the history, under the order's id.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), writeTimeout)
	defer cancel()
	out, err := commit(ctx, s.committer, order, func(current *settings.Settings) (writer, error) {
		return s.identify(current, credential)
	})
	if err != nil {
		s.config.Log.Info("write refused", slog.String("id", in.ID), slog.String("error", err.Error()))
		answerError(w, err)
		return
	}
	if !in.DryRun {
		s.config.Log.Info("write accepted", slog.String("id", in.ID), slog.Uint64("number", out.Number))
	}
	answer(w, http.StatusOK, toWireOutcome(out))
}

// identify finds whose credential it is in the settings in force.
func (s *Server) identify(current *settings.Settings, credential string) (writer, error) {
	if credential == "" {
		return writer{}, &DeniedError{Text: "no credential"}
	}
	if d, ok := current.Operator(credential); ok {
		return writer{name: d.Operator, below: d.Below}, nil
	}
	if s.config.Bootstrap != [32]byte{} && settings.HashCredential(credential) == s.config.Bootstrap && !current.Delegated() {
		return writer{name: bootstrapName, below: []settings.Path{""}}, nil
	}
	return writer{}, &DeniedError{Text: "unknown credential"}
}

// visible keeps what lies below the subtrees of who.
func visible(v View, who writer) View {
	v.Items = slices.DeleteFunc(slices.Clone(v.Items), func(i settings.Item) bool { return !who.may(i.Path) })
	var history []settings.Write
	for _, w := range v.History {
		seen := settings.Write{ID: w.ID, Number: w.Number, At: w.At, By: w.By, Reason: w.Reason}
		for i, p := range w.Paths {
			if who.may(p) {
				seen.Paths = append(seen.Paths, p)
				seen.Before = append(seen.Before, w.Before[i])
			}
		}
		// A write that changed nothing is shown to its writer and to those who
		// see all.
		own := len(w.Paths) == 0 && (w.By == who.name || who.may("platform") && who.may("teams"))
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

func answerError(w http.ResponseWriter, err error) {
	status, body := toWireError(err)
	answer(w, status, body)
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
