package entry

import (
	"net/http"

	"github.com/google/uuid"

	"bilberryshelf/core"
	"bilberryshelf/loan"
)

// weightsRequest is what a trainer announces.
type weightsRequest struct {
	Service string `json:"service"`
	Version uint64 `json:"version"`
	Object  string `json:"object"`
}

// weightsResponse is the answer to an announcement.
type weightsResponse struct {
	Service    string `json:"service"`
	Version    uint64 `json:"version"`
	Generation uint64 `json:"generation"`
}

// publishWeights accepts new weights. A version is accepted once; announcing
// it again is answered alike, an older one is refused.
func (en *Entry) publishWeights(out http.ResponseWriter, req *http.Request, name string) *core.Error {
	var we weightsRequest
	if er := en.readJSON(out, req, &we); er != nil {
		return er
	}
	if we.Service == "" || we.Version == 0 {
		return core.Refuse(core.CodeBadRequest, "service and a version of 1 or more are needed")
	}
	if _, er := en.trainerLoan(name, we.Service); er != nil {
		return er
	}
	now := en.clock.Now()
	bo, er := en.commit(req.Context(), uuid.NewString(), name, func(bo loan.Book) (loan.Book, *core.Error) {
		present := bo.Version(we.Service)
		if we.Version <= present.Number {
			return bo, core.Refuse(core.CodeConflict, "version %d of %s is in force already", present.Number, we.Service)
		}
		return bo.WithVersion(loan.Version{
			Service: we.Service, Number: we.Version, Object: we.Object, Trainer: name, Announced: now,
		}), nil
	})
	if er != nil && en.alreadyAnnounced(we, name) {
		return writeJSON(out, weightsResponse{Service: we.Service, Version: we.Version, Generation: en.view.Load().book.Generation})
	}
	if er != nil {
		return er
	}
	return writeJSON(out, weightsResponse{Service: we.Service, Version: we.Version, Generation: bo.Generation})
}

// alreadyAnnounced reports whether this very announcement is in force.
func (en *Entry) alreadyAnnounced(we weightsRequest, name string) bool {
	ve := en.view.Load().book.Version(we.Service)
	return ve.Number == we.Version && ve.Object == we.Object && ve.Trainer == name
}
