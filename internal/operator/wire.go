package operator

import (
	"errors"
	"net/http"
	"time"

	"citrontray.example/citrontray/internal/finding"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/settings"
)

// pathSettings is the URL path of the operators' API.
const pathSettings = "/v1/settings"

// maxBodyBytes bounds the bodies of requests and responses.
const maxBodyBytes = 8 << 20

type wireView struct {
	Local    bool        `json:"local,omitempty"`
	Revision uint64      `json:"revision"`
	Number   uint64      `json:"number"`
	File     string      `json:"file"`
	History  []wireWrite `json:"history,omitempty"`
}

type wireWrite struct {
	ID     string          `json:"id"`
	Number uint64          `json:"number"`
	At     time.Time       `json:"at"`
	By     string          `json:"by"`
	Reason string          `json:"reason,omitempty"`
	Paths  []settings.Path `json:"paths"`
	Before []string        `json:"before,omitempty"`
}

type wireWriteRequest struct {
	ID       string        `json:"id"`
	File     string        `json:"file,omitempty"`
	Rollback uint64        `json:"rollback,omitempty"`
	Below    settings.Path `json:"below,omitempty"`
	Expect   uint64        `json:"expect,omitempty"`
	Reason   string        `json:"reason,omitempty"`
	DryRun   bool          `json:"dryrun,omitempty"`
}

type wireWriteResult struct {
	Revision    uint64           `json:"revision"`
	Number      uint64           `json:"number"`
	Differences []wireDifference `json:"differences,omitempty"`
}

type wireDifference struct {
	Path   settings.Path `json:"path"`
	Before string        `json:"before,omitempty"`
	After  string        `json:"after,omitempty"`
}

// Error codes of the API.
const (
	codeFindings   = "findings"
	codeConflict   = "conflict"
	codeDenied     = "denied"
	codeRefused    = "refused"
	codeUnresolved = "unresolved"
	codeNewer      = "newer"
	codeLarge      = "large"
)

type wireError struct {
	Code     string        `json:"code"`
	Text     string        `json:"text"`
	Findings []wireFinding `json:"findings,omitempty"`
	Path     settings.Path `json:"path,omitempty"`
	Winner   *wireWrite    `json:"winner,omitempty"`
}

type wireFinding struct {
	Location string `json:"place"`
	Text     string `json:"text"`
	Hint     string `json:"mend,omitempty"`
}

func toWireView(v View) wireView {
	w := wireView{Local: v.Local, Revision: uint64(v.Revision), Number: v.Number, File: settings.Format(v.Items)}
	for _, h := range v.History {
		w.History = append(w.History, wireWrite(h))
	}
	return w
}

func (w wireView) view() (View, error) {
	changes, err := settings.Parse([]byte(w.File))
	if err != nil {
		return View{}, err
	}
	v := View{Local: w.Local, Revision: platform.Revision(w.Revision), Number: w.Number}
	for _, c := range changes {
		v.Items = append(v.Items, c.Item)
	}
	for _, h := range w.History {
		v.History = append(v.History, settings.Write(h))
	}
	return v, nil
}

func toWireWriteResult(o WriteResult) wireWriteResult {
	w := wireWriteResult{Revision: uint64(o.Revision), Number: o.Number}
	for _, d := range o.Differences {
		w.Differences = append(w.Differences, wireDifference(d))
	}
	return w
}

func (w wireWriteResult) writeResult() WriteResult {
	o := WriteResult{Revision: platform.Revision(w.Revision), Number: w.Number}
	for _, d := range w.Differences {
		o.Differences = append(o.Differences, settings.Difference(d))
	}
	return o
}

// toWireError converts an error of the API and returns the HTTP status for it.
func toWireError(err error) (status int, w wireError) {
	w.Text = err.Error()
	var found *finding.Error
	var conflict *settings.ConflictError
	var denied *DeniedError
	switch {
	case errors.As(err, &found):
		w.Code = codeFindings
		for _, f := range found.Findings {
			w.Findings = append(w.Findings, wireFinding(f))
		}
		return http.StatusUnprocessableEntity, w
	case errors.As(err, &conflict):
		winner := wireWrite(conflict.Winner)
		winner.Before = nil
		w.Code, w.Path, w.Winner = codeConflict, conflict.Path, &winner
		return http.StatusConflict, w
	case errors.As(err, &denied):
		w.Code, w.Text = codeDenied, denied.Text
		return http.StatusForbidden, w
	case errors.Is(err, settings.ErrUnresolved):
		w.Code = codeUnresolved
		return http.StatusGatewayTimeout, w
	case errors.Is(err, settings.ErrNewer):
		w.Code = codeNewer
		return http.StatusPreconditionFailed, w
	case errors.Is(err, settings.ErrTooLarge):
		w.Code = codeLarge
		return http.StatusRequestEntityTooLarge, w
	default:
		w.Code = codeRefused
		return http.StatusServiceUnavailable, w
	}
}

// err converts a received error back.
func (w wireError) err() error {
	switch w.Code {
	case codeFindings:
		found := &finding.Error{}
		for _, f := range w.Findings {
			found.Findings = append(found.Findings, finding.Finding(f))
		}
		return found
	case codeConflict:
		conflict := &settings.ConflictError{Path: w.Path}
		if w.Winner != nil {
			conflict.Winner = settings.Write(*w.Winner)
		}
		return conflict
	case codeDenied:
		return &DeniedError{Text: w.Text}
	case codeRefused:
		return settings.ErrNotAccepted
	case codeNewer:
		return settings.ErrNewer
	case codeLarge:
		return settings.ErrTooLarge
	default:
		return settings.ErrUnresolved
	}
}
