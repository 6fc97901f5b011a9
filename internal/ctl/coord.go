package ctl

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
)

func pack(v any) []byte {
	b, _ := json.Marshal(v)
	return b
}

func (m *command) lock() int {
	l := m.a.Lock
	if l.Op == "list" {
		return m.show(http.MethodGet, "/puffin/locks", nil, nil)
	}
	at := "/puffin/locks/" + url.PathEscape(l.Name)
	switch l.Op {
	case "get":
		return m.show(http.MethodGet, at, nil, nil)
	case "acquire", "renew", "release":
		in := map[string]any{"owner": l.Owner, "ttl_ms": l.TTL}
		if l.Fence > 0 {
			in["fence"] = l.Fence
		}
		return m.show(http.MethodPost, at+"/"+l.Op, pack(in), nil)
	}
	fmt.Fprintln(m.say, "lock knows list, get, acquire, renew and release")
	return ExitUsage
}

func (m *command) number() int {
	at := "/puffin/numbers/" + url.PathEscape(m.a.Number.Name)
	switch m.a.Number.Op {
	case "get":
		return m.show(http.MethodGet, at, nil, nil)
	case "next":
		return m.show(http.MethodPost, at+"/next", []byte("{}"), nil)
	}
	fmt.Fprintln(m.say, "number knows get and next")
	return ExitUsage
}

// slashed escapes a key but keeps its slashes.
func slashed(name string) string {
	parts := strings.Split(name, "/")
	for i := range parts {
		parts[i] = url.PathEscape(parts[i])
	}
	return strings.Join(parts, "/")
}

func (m *command) key() int {
	k := m.a.Key
	at := "/puffin/keys/" + slashed(k.Name)
	switch k.Op {
	case "list":
		return m.show(http.MethodGet, "/puffin/keys?prefix="+url.QueryEscape(k.Name), nil, nil)
	case "get":
		return m.show(http.MethodGet, at, nil, nil)
	case "put":
		in := map[string]any{"value": k.Value}
		if k.If != nil {
			in["if_rev"] = *k.If
		}
		return m.show(http.MethodPut, at, pack(in), nil)
	case "delete":
		if k.If != nil {
			at += fmt.Sprintf("?if_rev=%d", *k.If)
		}
		return m.show(http.MethodDelete, at, nil, nil)
	}
	fmt.Fprintln(m.say, "key knows list, get, put and delete")
	return ExitUsage
}

// watch prints changes as they come, a line each.
func (m *command) watch() int {
	w := m.a.Watch
	from := w.From
	if from == 0 {
		code := m.show(http.MethodGet, "/puffin/keys?prefix="+url.QueryEscape(w.Prefix), nil, func(raw []byte) error {
			var got struct {
				Rev uint64 `json:"rev"`
			}
			err := json.Unmarshal(raw, &got)
			from = got.Rev + 1
			return err
		})
		if code != ExitOK {
			return code
		}
	}
	for n := 0; w.Count == 0 || n < w.Count; {
		got, bad := m.c.do(http.MethodGet, fmt.Sprintf("/puffin/watch?prefix=%s&from=%d&wait_ms=1500", url.QueryEscape(w.Prefix), from), nil)
		if bad != 0 {
			return bad
		}
		if got.code >= 300 {
			wrong(m.say, got)
			return exit(got.code)
		}
		var in struct {
			Changes []json.RawMessage `json:"changes"`
			Next    uint64            `json:"next"`
		}
		if err := json.Unmarshal(got.raw, &in); err != nil {
			fmt.Fprintln(m.say, err)
			return ExitUnreachable
		}
		for _, c := range in.Changes {
			_, _ = fmt.Fprintln(m.out, string(c))
			n++
		}
		from = in.Next
	}
	return ExitOK
}
