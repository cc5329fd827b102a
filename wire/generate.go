// Package wire contains the messages and the generated clients and handlers of the
// protocol among entries and guards. The protocol is internal: the entries and guards of
// a deployment are always built from the same source tree.
package wire

//go:generate sh -c "cd .. && protoc --go_out=. --go_opt=module=bilberryshelf --connect-go_out=. --connect-go_opt=module=bilberryshelf,simple wire/wire.proto"
