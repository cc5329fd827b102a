package entry

import (
	"net/http"

	"github.com/google/uuid"

	"bilberryshelf/core"
	"bilberryshelf/loan"
)

// weightsRequest is a trainer's announcement of a weight version.
type weightsRequest struct {
	Service string `json:"service"`
	Version uint64 `json:"version"`
	Object  string `json:"object"`
}

// weightsResponse is the response to an announcement.
type weightsResponse struct {
	Service    string `json:"service"`
	Version    uint64 `json:"version"`
	Generation uint64 `json:"generation"`
}

// publishWeights commits a new weight version. Repeating the announcement of the
// version in force succeeds; an older version is refused.
func (en *Entry) publishWeights(out http.ResponseWriter, req *http.Request, name string) *core.Error {
	var wr weightsRequest
	if er := en.readJSON(out, req, &wr); er != nil {
		return er
	}
	if wr.Service == "" || wr.Version == 0 {
		return core.Refuse(core.CodeBadRequest, "service and a version of 1 or more are required")
	}
	if _, er := en.trainerLoan(name, wr.Service); er != nil {
		return er
	}
	now := en.clock.Now()
	bo, er := en.commit(req.Context(), uuid.NewString(), name, func(bo loan.Book) (loan.Book, *core.Error) {
		current := bo.Version(wr.Service)
		if wr.Version <= current.Number {
			return bo, core.Refuse(core.CodeConflict, "version %d of %s is already in force", current.Number, wr.Service)
		}
		return bo.WithVersion(loan.Version{
			Service: wr.Service, Number: wr.Version, Object: wr.Object, Trainer: name, Announced: now,
		}), nil
	})
	if er != nil && en.alreadyAnnounced(wr, name) {
		return writeJSON(out, weightsResponse{Service: wr.Service, Version: wr.Version, Generation: en.view.Load().book.Generation})
	}
	if er != nil {
		return er
	}
	return writeJSON(out, weightsResponse{Service: wr.Service, Version: wr.Version, Generation: bo.Generation})
}

// alreadyAnnounced reports whether exactly this announcement is in force.
func (en *Entry) alreadyAnnounced(wr weightsRequest, name string) bool {
	ve := en.view.Load().book.Version(wr.Service)
	return ve.Number == wr.Version && ve.Object == wr.Object && ve.Trainer == name
}
