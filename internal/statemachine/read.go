package statemachine

import "maps"

// Read answers a query from the state; the caller has confirmed it.
func (s *State) Read(what, name string, from uint64) Result {
	switch what {
	case "key":
		k, ok := s.Keys[name]
		if !ok {
			return Result{Code: NotFound, Revision: s.Revision, Message: "no such key"}
		}
		return Result{Code: OK, Revision: s.Revision, Key: &k}
	case "cell":
		c, ok := s.GroupKeys[name]
		if !ok {
			return Result{Code: NotFound, Message: "no such key"}
		}
		return Result{Code: OK, Revision: c.Revision, Key: &Key{Value: c.Value, Revision: c.Revision}}
	case "sent":
		c, ok := s.NewestSent()
		if !ok {
			return Result{Code: NotFound, Message: "none was sent yet"}
		}
		return Result{Code: OK, Version: c.Version, Doc: c.Doc}
	case "keys":
		return Result{Code: OK, Revision: s.Revision, Names: s.KeyNames(name)}
	case "lock":
		l, ok := s.Locks[name]
		if !ok {
			return Result{Code: NotFound, Message: "not held"}
		}
		return Result{Code: OK, Lock: &l}
	case "locks":
		return Result{Code: OK, Locks: maps.Clone(s.Locks)}
	case "number":
		return Result{Code: OK, Number: s.Numbers[name]}
	case "config":
		c := s.Config()
		r := Result{Code: OK, Version: c.Version, Trials: s.Trials, Number: s.TrialsBegun}
		// The document travels only when the asker lacks it.
		if c.Version > from {
			r.Doc = c.Doc
		}
		return r
	case "request":
		a, ok := s.Answered(name)
		if !ok {
			return Result{Code: NotFound, Version: s.Config().Version, Message: "no such request is known"}
		}
		return Result{Code: OK, Version: s.Config().Version, Recorded: &a}
	case "history":
		var out []Config
		for _, c := range s.Configs {
			if from == 0 || c.Version == from {
				if from == 0 {
					c.Doc = nil
				}
				out = append(out, c)
			}
		}
		return Result{Code: OK, Version: s.Config().Version, Configs: out}
	}
	return Result{Code: Invalid, Message: "unknown read " + what}
}
