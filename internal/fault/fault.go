// Package fault is the project's helper for errors: every error gets a kind
// and the name of what was being done, by errorx.
package fault

import (
	"errors"

	"github.com/joomcode/errorx"
)

var space = errorx.NewNamespace("puffin")

// The kinds of error, as few as callers tell apart.
var (
	Input   = space.NewType("input")   // what came in is wrong
	Disk    = space.NewType("disk")    // a file could not be kept or read
	Unsent  = space.NewType("unsent")  // certain that nothing went out
	Unknown = space.NewType("unknown") // it may have been done
	Refused = space.NewType("refused") // a fellow said no, nothing was done
	Stale   = space.NewType("stale")   // a lower ballot, version or identity
	Closed  = space.NewType("closed")  // this process is stopping
)

// Wrap names what was being done when err came up; nil stays nil.
func Wrap(kind *errorx.Type, err error, what string) error {
	if err == nil {
		return nil
	}
	return kind.Wrap(err, "%s", what)
}

// New makes an error of a kind.
func New(kind *errorx.Type, form string, args ...any) error {
	return kind.New(form, args...)
}

// Is tells whether err or what it wraps is of a kind.
func Is(err error, kind *errorx.Type) bool {
	for err != nil {
		if e := errorx.Cast(err); e != nil && e.IsOfType(kind) {
			return true
		}
		err = errors.Unwrap(err)
	}
	return false
}

// CausedBy tells whether err was caused by target, however often it was wrapped.
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
