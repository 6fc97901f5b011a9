package ctl

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
)

type command struct {
	c       *client
	a       args
	request string // names this command to the mesh, however often it is sent
	out     io.Writer
	say     io.Writer
}

// newRequestID makes a name that no other command has.
func newRequestID() string { return rand.Text() }

func (m *command) run() int {
	a := m.a
	switch {
	case a.Status != nil:
		return m.fleet(m.showStatus)
	case a.Nodes != nil:
		return m.fleet(m.showNodes)
	case a.Workers != nil:
		return m.fleet(m.showWorkers)
	case a.Duties != nil:
		return m.fleet(m.showDuties)
	case a.Classes != nil:
		return m.fleet(m.showClasses)
	case a.Services != nil:
		return m.show(http.MethodGet, "/puffin/services", nil, m.showServices)
	case a.Paths != nil, a.Routes != nil:
		return m.show(http.MethodGet, "/puffin/config", nil, m.showPaths)
	case a.History != nil:
		return m.show(http.MethodGet, "/puffin/history", nil, m.showHistory)
	case a.Events != nil:
		return m.show(http.MethodGet, "/puffin/events", nil, m.showEvents)
	case a.Config != nil:
		return m.config()
	case a.Propose != nil:
		return m.propose()
	case a.Trials != nil:
		return m.trials()
	case a.Drain != nil:
		uri := "/puffin/nodes/" + url.PathEscape(a.Drain.Node) + "/drain"
		if a.Drain.Undo {
			uri += "?undo=true"
		}
		return m.show(http.MethodPost, uri, []byte("{}"), nil)
	case a.Remove != nil:
		return m.order(http.MethodDelete, "/puffin/stores/"+url.PathEscape(a.Remove.ID), nil, nil, nil)
	case a.Lock != nil:
		return m.lock()
	case a.Number != nil:
		return m.number()
	case a.Key != nil:
		return m.key()
	case a.Watch != nil:
		return m.watch()
	}
	return ExitUsage
}

// show makes a call and prints its answer: as JSON, or by f.
func (m *command) show(method, uri string, body []byte, f func(raw []byte) error) int {
	got, bad := m.c.do(method, uri, body)
	return m.print(got, bad, f)
}

// order makes a call of an operator under a request id of its own, and prints
// its answer.
func (m *command) order(method, path string, q url.Values, body []byte, f func(raw []byte) error) int {
	if q == nil {
		q = url.Values{}
	}
	q.Set("request_id", m.request)
	got, bad := m.c.order(method, path+"?"+q.Encode(), body)
	return m.print(got, bad, f)
}

// print shows an answer: as JSON, or by f.
func (m *command) print(got reply, bad int, f func(raw []byte) error) int {
	if bad != 0 {
		return bad
	}
	if got.code >= 300 {
		if m.a.JSON {
			_, _ = m.out.Write(got.raw)
		}
		wrong(m.say, got)
		return exit(got.code)
	}
	if m.a.JSON || f == nil {
		_, _ = m.out.Write(append([]byte(strings.TrimSpace(string(got.raw))), '\n'))
		return ExitOK
	}
	if err := f(got.raw); err != nil {
		fmt.Fprintf(m.say, "the answer of %s can't be read: %v\n", got.at, err)
		return ExitUnreachable
	}
	return ExitOK
}

// table prints rows in columns.
func (m *command) table(head string, rows [][]string) {
	w := tabwriter.NewWriter(m.out, 2, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.ReplaceAll(head, " ", "\t"))
	for _, r := range rows {
		_, _ = fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	_ = w.Flush()
}

func (m *command) config() int {
	c := m.a.Config
	switch {
	case c.Get != nil:
		uri := "/puffin/config"
		if c.Get.Version > 0 {
			return m.show(http.MethodGet, fmt.Sprintf("/puffin/history?version=%d", c.Get.Version), nil, nil)
		}
		return m.show(http.MethodGet, uri, nil, func(raw []byte) error {
			var got struct {
				Version  uint64         `json:"version"`
				Document map[string]any `json:"document"`
			}
			if err := json.Unmarshal(raw, &got); err != nil {
				return err
			}
			fmt.Fprintf(m.say, "version %d\n", got.Version)
			doc, err := json.MarshalIndent(got.Document, "", "  ")
			_, _ = fmt.Fprintln(m.out, string(doc))
			return err
		})
	case c.Check != nil:
		return m.file(c.Check.File, func(doc []byte) int {
			return m.show(http.MethodPost, "/puffin/config/check", doc, func([]byte) error {
				_, err := fmt.Fprintln(m.out, "the document is good")
				return err
			})
		})
	case c.Diff != nil:
		return m.file(c.Diff.File, m.diff)
	case c.Apply != nil:
		q := url.Values{"based_on": {fmt.Sprint(c.Apply.Base)}}
		if c.Apply.Now {
			q.Set("emergency", "true")
		}
		if c.Apply.Who != "" {
			q.Set("who", c.Apply.Who)
		}
		return m.file(c.Apply.File, func(doc []byte) int {
			return m.order(http.MethodPut, "/puffin/config", q, doc, func(raw []byte) error {
				var got struct {
					Version uint64 `json:"version"`
					Trial   uint64 `json:"trial"`
				}
				err := json.Unmarshal(raw, &got)
				fmt.Fprintf(m.out, "version %d is in force\n", got.Version)
				if got.Trial > 0 {
					fmt.Fprintf(m.out, "its paths are rehearsed as trial %d\n", got.Trial)
				}
				return err
			})
		})
	}
	fmt.Fprintln(m.say, "config knows get, check, apply and diff")
	return ExitUsage
}

func (m *command) file(name string, f func([]byte) int) int {
	var doc []byte
	var err error
	if name == "-" {
		doc, err = io.ReadAll(os.Stdin)
	} else {
		doc, err = os.ReadFile(name)
	}
	if err != nil {
		fmt.Fprintln(m.say, err)
		return ExitUsage
	}
	return f(doc)
}
