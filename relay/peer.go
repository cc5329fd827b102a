package relay

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"bilberryshelf/table"
	"bilberryshelf/wire"
	"bilberryshelf/wire/wireconnect"
)

// Client calls the store through a peer.
type Client struct {
	client wireconnect.TableServiceClient
}

// NewClient returns a client of the peer at an inner address, host and port.
func NewClient(doer *http.Client, addr string) *Client {
	return &Client{client: wireconnect.NewTableServiceClient(doer, "http://"+addr, connect.WithReadMaxBytes(wire.MaxMessageBytes))}
}

// Commit writes a transaction through the peer.
func (cl *Client) Commit(ctx context.Context, tx table.Tx) (uint64, error) {
	req := &wire.CommitRequest{}
	for _, ex := range tx.Expect {
		req.Expect = append(req.Expect, &wire.TableRow{Id: toWire(ex.ID), Version: ex.Version})
	}
	for _, pu := range tx.Puts {
		req.Puts = append(req.Puts, &wire.TableRow{Id: toWire(pu.ID), Value: pu.Value})
	}
	for _, id := range tx.Drops {
		req.Drops = append(req.Drops, toWire(id))
	}
	res, err := cl.client.Commit(ctx, req)
	if err != nil {
		return 0, fromCode(err)
	}
	return res.GetVersion(), nil
}

// List reads rows through the peer.
func (cl *Client) List(ctx context.Context, ra table.Range) (table.Page, error) {
	res, err := cl.client.List(ctx, &wire.ListRequest{
		Table: ra.Table, Part: ra.Part, From: ra.From, To: ra.To, Limit: int32(ra.Limit),
	})
	if err != nil {
		return table.Page{}, fromCode(err)
	}
	page := table.Page{More: res.GetMore(), Version: res.GetVersion()}
	for _, ro := range res.GetRows() {
		page.Rows = append(page.Rows, table.Row{ID: fromWire(ro.GetId()), Value: ro.GetValue(), Version: ro.GetVersion()})
	}
	return page, nil
}

// Service relays the calls of peers to the store, always on the direct path
// (rule 5).
type Service struct {
	Direct table.Client
}

// Commit writes a transaction for a peer.
func (se Service) Commit(ctx context.Context, req *wire.CommitRequest) (*wire.CommitResponse, error) {
	var tx table.Tx
	for _, ex := range req.GetExpect() {
		tx.Expect = append(tx.Expect, table.Expect{ID: fromWire(ex.GetId()), Version: ex.GetVersion()})
	}
	for _, pu := range req.GetPuts() {
		tx.Puts = append(tx.Puts, table.Put{ID: fromWire(pu.GetId()), Value: pu.GetValue()})
	}
	for _, id := range req.GetDrops() {
		tx.Drops = append(tx.Drops, fromWire(id))
	}
	version, err := se.Direct.Commit(ctx, tx)
	if err != nil {
		return nil, toCode(err)
	}
	return &wire.CommitResponse{Version: version}, nil
}

// List reads rows for a peer.
func (se Service) List(ctx context.Context, req *wire.ListRequest) (*wire.PageResponse, error) {
	page, err := se.Direct.List(ctx, table.Range{
		Table: req.GetTable(), Part: req.GetPart(), From: req.GetFrom(), To: req.GetTo(), Limit: int(req.GetLimit()),
	})
	if err != nil {
		return nil, toCode(err)
	}
	res := &wire.PageResponse{More: page.More, Version: page.Version}
	for _, ro := range page.Rows {
		res.Rows = append(res.Rows, &wire.TableRow{Id: toWire(ro.ID), Value: ro.Value, Version: ro.Version})
	}
	return res, nil
}

func toWire(id table.ID) *wire.RowID { return &wire.RowID{Table: id.Table, Part: id.Part, Key: id.Key} }

func fromWire(id *wire.RowID) table.ID {
	return table.ID{Table: id.GetTable(), Part: id.GetPart(), Key: id.GetKey()}
}

// toCode and fromCode translate the errors that callers distinguish. Any other error
// means that the outcome of the call is unknown.
func toCode(err error) error {
	switch {
	case errors.Is(err, table.ErrConflict):
		return connect.NewError(connect.CodeFailedPrecondition, err)
	case errors.Is(err, table.ErrOverloaded):
		return connect.NewError(connect.CodeUnavailable, err)
	case errors.Is(err, table.ErrRefused):
		return connect.NewError(connect.CodeResourceExhausted, err)
	default:
		return connect.NewError(connect.CodeUnknown, err)
	}
}

func fromCode(err error) error {
	switch connect.CodeOf(err) {
	case connect.CodeFailedPrecondition:
		return errors.Mark(err, table.ErrConflict)
	case connect.CodeResourceExhausted:
		return errors.Mark(err, table.ErrRefused)
	case connect.CodeUnavailable:
		return peerUnavailable(err)
	default:
		return errors.Wrap(err, "call the store through a peer")
	}
}

// peerUnavailable returns table.ErrOverloaded if the peer said so. The library has the same
// code for a peer that can't be reached, after which the outcome is unknown.
func peerUnavailable(err error) error {
	var failed *connect.Error
	if errors.As(err, &failed) && connect.IsWireError(failed) {
		return errors.Wrap(table.ErrOverloaded, "through a peer")
	}
	return errors.Wrap(err, "call the store through a peer")
}
