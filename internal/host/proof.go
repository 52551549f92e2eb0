package host

import (
	"cmp"
	"log/slog"

	"citrontray.example/citrontray/internal/forward"
	"citrontray.example/citrontray/internal/outcome"
	"citrontray.example/citrontray/internal/target"
)

// proof is the evidence that a request which is reported as not run did not run.
type proof string

const (
	// proofUnsent: no attempt sent a byte of the request.
	proofUnsent proof = "unsent"
	// proofMarked: the last target that got the request stated that it did not run it.
	proofMarked proof = "marked"
	// proofMisdirected: the last target that got the request responded with 421, so it is
	// another target or does not own the key.
	proofMisdirected proof = "misdirected"
	// proofRelayed: the host that the request was passed to reported it as not run, with
	// the proof that it logs itself.
	proofRelayed proof = "relayed"
)

// proofOf returns the evidence in a refusal.
func proofOf(r forward.Refused) proof {
	if r.Refusal == target.RefusalOwner {
		return proofMisdirected
	}
	return proofMarked
}

// proofFor returns the evidence for a result, "" unless the result is that the request did
// not run. j is nil if the request was refused before it had a job.
func proofFor(j *job, result outcome.Result) proof {
	if _, ok := result.(outcome.NotRunFailure); !ok {
		return ""
	}
	if j == nil || j.proof == "" {
		return proofUnsent
	}
	return j.proof
}

// attrs returns the log attribute of the evidence, nothing if there is none.
func (p proof) attrs() []any {
	if p == "" {
		return nil
	}
	return []any{slog.String("proof", string(p))}
}

// finalResult corrects the result by earlier attempts. A request is reported as not run only
// if each attempt that may have reached a target was refused by it. A 5xx response of an
// earlier attempt takes precedence over a failure without a response.
func (j *job) finalResult(r outcome.Result) outcome.Result {
	if response, ok := r.(outcome.Response); ok {
		return j.checkPromise(response)
	}
	if j.serverError != nil {
		return j.serverError
	}
	if _, ok := r.(outcome.NotRunFailure); ok && j.arrivals > j.refusals {
		return outcome.UnknownFailure{Reason: cmp.Or(j.uncertainReason, outcome.AnswerBad)}
	}
	return r
}

// checkPromise returns a response, or a failure in its place if its status would make the
// caller repeat a request that may have run: an attempt that the target states not to have
// run ends as refused, never with a response.
func (j *job) checkPromise(r outcome.Response) outcome.Result {
	if j.route.Idempotent || !outcome.MeansNotRun(r.Status) {
		return r
	}
	j.host.log.Warn("Response means that the request did not run, without the target's mark.", slog.String("request", j.request.ID),
		slog.String("service", string(j.service.Name)), slog.String("target", string(j.lastTarget)), slog.String("relayed", string(j.relayedTo)),
		slog.Int("status", r.Status))
	j.host.metrics.countUnmarked(j.service.Name, r.Status)
	return outcome.UnknownFailure{Reason: outcome.AnswerUnmarked}
}
