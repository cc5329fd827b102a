// Package wire contains the messages and the generated clients and handlers of the
// protocol between entries and guards. The protocol is internal: both sides are always
// built from the same source tree within one rollout.
package wire

//go:generate sh -c "cd .. && protoc --go_out=. --go_opt=module=bilberryshelf --connect-go_out=. --connect-go_opt=module=bilberryshelf,simple wire/wire.proto"
