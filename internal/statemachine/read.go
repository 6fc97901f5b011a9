package statemachine

import "maps"

// Read answers a query from the local state. The caller must have confirmed that the
// state is current. The meaning of version depends on the query: the version that the
// requester has, or the one that it wants.
func (s *State) Read(query, name string, version uint64) Result {
	switch query {
	case "key":
		key, ok := s.Keys[name]
		if !ok {
			return Result{Code: NotFound, Revision: s.Revision, Message: "no such key"}
		}
		return Result{Code: OK, Revision: s.Revision, Key: &key}
	case "cell":
		groupKey, ok := s.GroupKeys[name]
		if !ok {
			return Result{Code: NotFound, Message: "no such key"}
		}
		return Result{Code: OK, Revision: groupKey.Revision, Key: &Key{Value: groupKey.Value, Revision: groupKey.Revision}}
	case "sent":
		config, ok := s.NewestSubmitted()
		if !ok {
			return Result{Code: NotFound, Message: "none was sent yet"}
		}
		return Result{Code: OK, Version: config.Version, Doc: config.Doc}
	case "keys":
		return Result{Code: OK, Revision: s.Revision, Names: s.KeyNames(name)}
	case "lock":
		lock, ok := s.Locks[name]
		if !ok {
			return Result{Code: NotFound, Message: "not held"}
		}
		return Result{Code: OK, Lock: &lock}
	case "locks":
		return Result{Code: OK, Locks: maps.Clone(s.Locks)}
	case "number":
		return Result{Code: OK, Number: s.Numbers[name]}
	case "config":
		config := s.Config()
		result := Result{Code: OK, Version: config.Version, Trials: s.Trials, Number: s.TrialsBegun}
		// The document is included only if the requester has an older version.
		if config.Version > version {
			result.Doc = config.Doc
		}
		return result
	case "request":
		answered, ok := s.FindRequest(name)
		if !ok {
			return Result{Code: NotFound, Version: s.Config().Version, Message: "no such request is known"}
		}
		return Result{Code: OK, Version: s.Config().Version, Recorded: &answered}
	case "history":
		var configs []Config
		for _, c := range s.Configs {
			if version == 0 || c.Version == version {
				if version == 0 {
					c.Doc = nil
				}
				configs = append(configs, c)
			}
		}
		return Result{Code: OK, Version: s.Config().Version, Configs: configs}
	}
	return Result{Code: Invalid, Message: "unknown read " + query}
}
