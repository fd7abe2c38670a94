package cli

import (
	"errors"
	"net"
)

// classifyDial wraps an error in dialError if it is a failure to connect.
func classifyDial(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &dialError{cause: err}
	}
	return err
}
