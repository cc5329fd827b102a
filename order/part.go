package order

import (
	"context"

	"bilberryshelf/logs"
)

// Part runs a guard until it is stopped.
type Part struct {
	guard *Guard
	ctx   context.Context
	stop  context.CancelFunc
	done  chan struct{}
}

// NewPart makes a part of a guard.
func NewPart(gu *Guard) *Part {
	ctx, cancel := context.WithCancel(context.Background())
	return &Part{guard: gu, ctx: ctx, stop: cancel, done: make(chan struct{})}
}

// Run orders the engine until Stop.
func (pa *Part) Run() error {
	defer close(pa.done)
	pa.guard.Run(pa.ctx)
	return nil
}

// Stop ends the guard. An order in progress goes on at the engine.
func (pa *Part) Stop() {
	logs.Info(pa.guard.Logger, "stopping")
	pa.stop()
}

// Done closes when the guard has ended.
func (pa *Part) Done() <-chan struct{} { return pa.done }
