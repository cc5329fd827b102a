package order

import (
	"context"

	"bilberryshelf/logs"
)

// Runner runs a guard until it is stopped.
type Runner struct {
	guard *Guard
	ctx   context.Context
	stop  context.CancelFunc
	done  chan struct{}
}

// NewRunner makes a part of a guard.
func NewRunner(gu *Guard) *Runner {
	ctx, cancel := context.WithCancel(context.Background())
	return &Runner{guard: gu, ctx: ctx, stop: cancel, done: make(chan struct{})}
}

// Run orders the engine until Stop.
func (pa *Runner) Run() error {
	defer close(pa.done)
	pa.guard.Run(pa.ctx)
	return nil
}

// Stop ends the guard. An order in progress goes on at the engine.
func (pa *Runner) Stop() {
	logs.Info(pa.guard.Logger, "stopping")
	pa.stop()
}

// Done closes when the guard has ended.
func (pa *Runner) Done() <-chan struct{} { return pa.done }
