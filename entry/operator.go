package entry

import (
	"bytes"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"bilberryshelf/core"
	"bilberryshelf/loan"
	"bilberryshelf/sheet"
)

// applyResult is the response to a sheet. If Faults is not empty, nothing of the
// sheet was applied.
type applyResult struct {
	Operation  string         `json:"operation,omitempty"`
	Generation uint64         `json:"generation"`
	DryRun     bool           `json:"dry-run,omitempty"`
	Unchanged  bool           `json:"unchanged,omitempty"`
	Changes    []sheet.Change `json:"changes"`
	Faults     []sheet.Fault  `json:"faults,omitempty"`
}

// applySheet validates a complete sheet and commits it. Query parameters are
// dry-run, operation (an id chosen by the operator) and base (the generation
// that the operator expects to change).
func (en *Entry) applySheet(out http.ResponseWriter, req *http.Request, name string) *core.Error {
	raw, er := en.readBody(out, req)
	if er != nil {
		return er
	}
	loans, faults := sheet.Parse(bytes.NewReader(raw))
	if len(faults) > 0 {
		out.Header().Set(headerVerdict, string(core.NotRun))
		out.Header().Set("Content-Type", "application/json")
		out.WriteHeader(http.StatusUnprocessableEntity)
		return writeJSON(out, applyResult{Faults: faults, Changes: []sheet.Change{}})
	}
	base, er := en.baseBook(req)
	if er != nil {
		return er
	}
	changes := sheet.Diff(base, loans)
	result := applyResult{Generation: base.Generation, Changes: changes}
	if result.Changes == nil {
		result.Changes = []sheet.Change{}
	}
	if dry, _ := strconv.ParseBool(req.URL.Query().Get("dry-run")); dry {
		result.DryRun = true
		return writeJSON(out, result)
	}
	if len(changes) == 0 && base.Generation > 0 {
		result.Unchanged = true
		return writeJSON(out, result)
	}
	result.Operation = orDefault(req.URL.Query().Get("operation"), uuid.NewString())
	bo, er := en.commit(req.Context(), result.Operation, name, sheet.ReplaceLoans(base, loans, name, en.clock.Now().UTC()))
	if er != nil {
		return er
	}
	result.Generation = bo.Generation
	return writeJSON(out, result)
}

func orDefault(text, other string) string {
	if text == "" {
		return other
	}
	return text
}

// baseBook returns the book in force, against which a change is made. If the
// query has a base, the book must have that generation.
func (en *Entry) baseBook(req *http.Request) (loan.Book, *core.Error) {
	bo, err := en.acceptor.Load(req.Context())
	if err != nil {
		return bo, core.Refuse(core.CodePlatformDown, "the platform does not answer; nothing was written").WithRetryAfter(acceptRetryDelay * 2)
	}
	text := req.URL.Query().Get("base")
	if text == "" {
		return bo, nil
	}
	want, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return bo, core.Refuse(core.CodeBadRequest, "base: %q is not a generation", text)
	}
	if want != bo.Generation {
		return bo, core.Refuse(core.CodeConflict, "generation %d is in force, not %d; look at the changes again", bo.Generation, want)
	}
	return bo, nil
}

// recallLoan ends a loan early, at the given time or now.
func (en *Entry) recallLoan(out http.ResponseWriter, req *http.Request, name string) *core.Error {
	id := req.PathValue("loan")
	at := en.clock.Now().UTC()
	if text := req.URL.Query().Get("at"); text != "" {
		parsed, err := time.Parse(time.RFC3339, text)
		if err != nil {
			return core.Refuse(core.CodeBadRequest, "at: %q is not a time such as 2026-03-02T06:00:00Z", text)
		}
		at = parsed.UTC()
	}
	operation := orDefault(req.URL.Query().Get("operation"), uuid.NewString())
	bo, er := en.commit(req.Context(), operation, name, func(bo loan.Book) (loan.Book, *core.Error) {
		return bo.WithRecall(id, name, at)
	})
	if er != nil {
		return er
	}
	return writeJSON(out, applyResult{Operation: operation, Generation: bo.Generation, Changes: []sheet.Change{}})
}

func (en *Entry) settleOperation(out http.ResponseWriter, req *http.Request, name string) *core.Error {
	done, er := en.acceptor.Settle(req.Context(), req.PathValue("operation"), name)
	if er != nil {
		return er
	}
	return writeJSON(out, done)
}

// targetState is the status of a target.
type targetState struct {
	Name         string     `json:"name"`
	Service      string     `json:"service"`
	Domain       string     `json:"failure-domain"`
	State        core.State `json:"state"`
	Load         int        `json:"load"`
	Capacity     int        `json:"capacity"`
	Version      uint64     `json:"version"`
	TrafficShare float64    `json:"share"`
}

// status is the response to an operator's status request.
type status struct {
	Entry      string         `json:"entry"`
	Ready      bool           `json:"ready"`
	Generation uint64         `json:"generation"`
	Operation  string         `json:"operation"`
	Loans      []loanState    `json:"loans"`
	Targets    []targetState  `json:"targets"`
	Versions   []loan.Version `json:"versions"`
	Entries    []string       `json:"entries"`
}

type loanState struct {
	ID       string     `json:"id"`
	Lender   string     `json:"lender"`
	Borrower string     `json:"borrower"`
	Service  string     `json:"service"`
	Targets  int        `json:"targets"`
	Phase    loan.Phase `json:"phase"`
	Until    time.Time  `json:"until"`
}

func (en *Entry) showStatus(out http.ResponseWriter, _ *http.Request, _ string) *core.Error {
	vi := en.view.Load()
	now := en.clock.Now()
	st := status{
		Entry: en.settings.Name, Ready: en.Ready(), Generation: vi.book.Generation, Operation: vi.book.Operation,
		Versions: vi.book.Versions, Entries: vi.entries, Loans: []loanState{}, Targets: []targetState{},
	}
	for _, lo := range vi.book.Loans {
		st.Loans = append(st.Loans, loanState{
			ID: lo.ID, Lender: lo.Lender, Borrower: lo.Borrower, Service: lo.Service,
			Targets: len(lo.Targets), Phase: lo.Phase(now, 0), Until: lo.End(),
		})
	}
	for _, ep := range vi.endpoints {
		st.Targets = append(st.Targets, targetState{
			Name: ep.Name, Service: ep.Service, Domain: ep.Domain, State: ep.State,
			Load: ep.Load(), Capacity: ep.Capacity, Version: ep.Version, TrafficShare: ep.TrafficShare,
		})
	}
	slices.SortFunc(st.Targets, func(lhs, rhs targetState) int { return strings.Compare(lhs.Name, rhs.Name) })
	return writeJSON(out, st)
}

// explanation is the response to an operator's request for one loan.
type explanation struct {
	Loan      loan.Loan     `json:"loan"`
	Phase     loan.Phase    `json:"phase"`
	End       time.Time     `json:"end"`
	Shares    []targetShare `json:"shares"`
	Admission string        `json:"now"`
}

type targetShare struct {
	Target string     `json:"target"`
	Share  int        `json:"max-in-flight"`
	State  core.State `json:"state"`
}

func (en *Entry) explainLoan(out http.ResponseWriter, req *http.Request, _ string) *core.Error {
	vi := en.view.Load()
	lo, found := vi.book.Loan(req.PathValue("loan"))
	if !found {
		return core.Refuse(core.CodeNoLoan, "there is no loan %q in generation %d", req.PathValue("loan"), vi.book.Generation)
	}
	now := en.clock.Now()
	ex := explanation{Loan: lo, Phase: lo.Phase(now, 0), End: lo.End(), Admission: "new work is admitted"}
	if er := lo.Admit(now, 0, 0); er != nil {
		ex.Admission = er.Text
	}
	for _, na := range lo.Targets {
		state := core.State("unknown")
		if ep := vi.endpoints[na]; ep != nil {
			state = ep.State
		}
		ex.Shares = append(ex.Shares, targetShare{Target: na, Share: lo.Share(na), State: state})
	}
	return writeJSON(out, ex)
}
