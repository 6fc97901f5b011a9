package ctl

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
)

func encodeJSON(v any) []byte {
	b, _ := json.Marshal(v)
	return b
}

func (m *command) lock() int {
	options := m.args.Lock
	if options.Op == "list" {
		return m.call(http.MethodGet, "/puffin/locks", nil, nil)
	}
	uri := "/puffin/locks/" + url.PathEscape(options.Name)
	switch options.Op {
	case "get":
		return m.call(http.MethodGet, uri, nil, nil)
	case "acquire", "renew", "release":
		body := map[string]any{"owner": options.Owner, "ttl_ms": options.TTL}
		if options.Fence > 0 {
			body["fence"] = options.Fence
		}
		return m.call(http.MethodPost, uri+"/"+options.Op, encodeJSON(body), nil)
	}
	fmt.Fprintln(m.stderr, "lock knows list, get, acquire, renew and release")
	return ExitUsage
}

func (m *command) number() int {
	uri := "/puffin/numbers/" + url.PathEscape(m.args.Number.Name)
	switch m.args.Number.Op {
	case "get":
		return m.call(http.MethodGet, uri, nil, nil)
	case "next":
		return m.call(http.MethodPost, uri+"/next", []byte("{}"), nil)
	}
	fmt.Fprintln(m.stderr, "number knows get and next")
	return ExitUsage
}

// escapeKey escapes the segments of a key and keeps its slashes.
func escapeKey(name string) string {
	parts := strings.Split(name, "/")
	for i := range parts {
		parts[i] = url.PathEscape(parts[i])
	}
	return strings.Join(parts, "/")
}

func (m *command) key() int {
	options := m.args.Key
	uri := "/puffin/keys/" + escapeKey(options.Name)
	switch options.Op {
	case "list":
		return m.call(http.MethodGet, "/puffin/keys?prefix="+url.QueryEscape(options.Name), nil, nil)
	case "get":
		return m.call(http.MethodGet, uri, nil, nil)
	case "put":
		body := map[string]any{"value": options.Value}
		if options.IfRevision != nil {
			body["if_rev"] = *options.IfRevision
		}
		return m.call(http.MethodPut, uri, encodeJSON(body), nil)
	case "delete":
		if options.IfRevision != nil {
			uri += fmt.Sprintf("?if_rev=%d", *options.IfRevision)
		}
		return m.call(http.MethodDelete, uri, nil, nil)
	}
	fmt.Fprintln(m.stderr, "key knows list, get, put and delete")
	return ExitUsage
}

// watch prints changes as they arrive, one per line.
func (m *command) watch() int {
	options := m.args.Watch
	from := options.From
	if from == 0 {
		code := m.call(http.MethodGet, "/puffin/keys?prefix="+url.QueryEscape(options.Prefix), nil, func(raw []byte) error {
			var answer struct {
				Rev uint64 `json:"rev"`
			}
			err := json.Unmarshal(raw, &answer)
			from = answer.Rev + 1
			return err
		})
		if code != ExitOK {
			return code
		}
	}
	for n := 0; options.Count == 0 || n < options.Count; {
		answer, code := m.client.call(http.MethodGet, fmt.Sprintf("/puffin/watch?prefix=%s&from=%d&wait_ms=1500", url.QueryEscape(options.Prefix), from), nil)
		if code != 0 {
			return code
		}
		if answer.status >= 300 {
			printRefusal(m.stderr, answer)
			return exitCode(answer.status)
		}
		var batch struct {
			Changes []json.RawMessage `json:"changes"`
			Next    uint64            `json:"next"`
		}
		if err := json.Unmarshal(answer.body, &batch); err != nil {
			fmt.Fprintln(m.stderr, err)
			return ExitUnreachable
		}
		for _, change := range batch.Changes {
			_, _ = fmt.Fprintln(m.stdout, string(change))
			n++
		}
		from = batch.Next
	}
	return ExitOK
}
