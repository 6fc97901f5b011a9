package ledger

import "maps"

// Read answers a query from the state; the caller has confirmed it.
func (s *State) Read(what, name string, from uint64) Receipt {
	switch what {
	case "key":
		k, ok := s.Keys[name]
		if !ok {
			return Receipt{Code: Absent, Rev: s.Rev, Say: "no such key"}
		}
		return Receipt{Code: OK, Rev: s.Rev, Key: &k}
	case "cell":
		c, ok := s.Cells[name]
		if !ok {
			return Receipt{Code: Absent, Say: "no such key"}
		}
		return Receipt{Code: OK, Rev: c.Rev, Key: &Key{Value: c.Value, Rev: c.Rev}}
	case "sent":
		c, ok := s.Sent()
		if !ok {
			return Receipt{Code: Absent, Say: "none was sent yet"}
		}
		return Receipt{Code: OK, Version: c.Version, Doc: c.Doc}
	case "keys":
		return Receipt{Code: OK, Rev: s.Rev, Names: s.Names(name)}
	case "lock":
		l, ok := s.Locks[name]
		if !ok {
			return Receipt{Code: Absent, Say: "not held"}
		}
		return Receipt{Code: OK, Lock: &l}
	case "locks":
		return Receipt{Code: OK, Locks: maps.Clone(s.Locks)}
	case "number":
		return Receipt{Code: OK, Number: s.Numbers[name]}
	case "config":
		c := s.Config()
		r := Receipt{Code: OK, Version: c.Version, Trials: s.Trials, Number: s.Tries}
		// The document travels only when the asker lacks it.
		if c.Version > from {
			r.Doc = c.Doc
		}
		return r
	case "request":
		a, ok := s.Answered(name)
		if !ok {
			return Receipt{Code: Absent, Version: s.Config().Version, Say: "no such request is known"}
		}
		return Receipt{Code: OK, Version: s.Config().Version, Earlier: &a}
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
		return Receipt{Code: OK, Version: s.Config().Version, Configs: out}
	}
	return Receipt{Code: Wrong, Say: "unknown read " + what}
}
