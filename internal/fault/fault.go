// Package fault gives every error a kind and the name of the failed operation, using errorx.
package fault

import (
	"errors"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("puffin")

// The kinds of errors, only as many as callers distinguish.
var (
	Input   = namespace.NewType("input")   // invalid input
	Disk    = namespace.NewType("disk")    // a file could not be written or read
	Unsent  = namespace.NewType("unsent")  // certain that nothing was sent
	Unknown = namespace.NewType("unknown") // the operation may have been carried out
	Refused = namespace.NewType("refused") // a peer refused, nothing was done
	Stale   = namespace.NewType("stale")   // a lower ballot, version or identity
	Closed  = namespace.NewType("closed")  // this process is stopping
)

// Wrap adds a kind and the name of the failed operation to err; nil stays nil.
func Wrap(kind *errorx.Type, err error, operation string) error {
	if err == nil {
		return nil
	}
	return kind.Wrap(err, "%s", operation)
}

// New creates an error of a kind.
func New(kind *errorx.Type, format string, args ...any) error {
	return kind.New(format, args...)
}

// Is reports whether err or any error that it wraps is of a kind.
func Is(err error, kind *errorx.Type) bool {
	for err != nil {
		if e := errorx.Cast(err); e != nil && e.IsOfType(kind) {
			return true
		}
		err = errors.Unwrap(err)
	}
	return false
}

// CausedBy reports whether target is in the chain of causes of err.
func CausedBy(err, target error) bool {
	for err != nil {
		if errors.Is(err, target) {
			return true
		}
		if e := errorx.Cast(err); e != nil {
			err = e.Cause()
		} else {
			err = errors.Unwrap(err)
		}
	}
	return false
}
