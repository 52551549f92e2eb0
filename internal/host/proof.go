package host

import (
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
