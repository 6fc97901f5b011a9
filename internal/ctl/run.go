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

// command runs one parsed command line.
type command struct {
	client    *client
	args      args
	requestID string // identifies this command to the cluster when it is sent again
	stdout    io.Writer
	stderr    io.Writer
}

// newRequestID returns a random ID that no other command has.
func newRequestID() string { return rand.Text() }

func (m *command) run() int {
	a := m.args
	switch {
	case a.Status != nil:
		return m.showCluster(m.showStatus)
	case a.Nodes != nil:
		return m.showCluster(m.showNodes)
	case a.Workers != nil:
		return m.showCluster(m.showWorkers)
	case a.Roles != nil:
		return m.showCluster(m.showRoles)
	case a.Classes != nil:
		return m.showCluster(m.showClasses)
	case a.Services != nil:
		return m.call(http.MethodGet, "/puffin/services", nil, m.showServices)
	case a.Paths != nil, a.Routes != nil:
		return m.call(http.MethodGet, "/puffin/config", nil, m.showRoutes)
	case a.History != nil:
		return m.call(http.MethodGet, "/puffin/history", nil, m.showHistory)
	case a.Events != nil:
		return m.call(http.MethodGet, "/puffin/events", nil, m.showEvents)
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
		return m.call(http.MethodPost, uri, []byte("{}"), nil)
	case a.RemoveStore != nil:
		return m.callOnce(http.MethodDelete, "/puffin/stores/"+url.PathEscape(a.RemoveStore.ID), nil, nil, nil)
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

// call makes a call and prints the answer, either as JSON or with show.
func (m *command) call(method, uri string, body []byte, show func(raw []byte) error) int {
	answer, code := m.client.call(method, uri, body)
	return m.print(answer, code, show)
}

// callOnce makes a call under the request ID of this command, so that it is executed
// once, and prints the answer.
func (m *command) callOnce(method, path string, query url.Values, body []byte, show func(raw []byte) error) int {
	if query == nil {
		query = url.Values{}
	}
	query.Set("request_id", m.requestID)
	answer, code := m.client.callIdempotent(method, path+"?"+query.Encode(), body)
	return m.print(answer, code, show)
}

// print prints an answer, either as JSON or with show, and returns the exit code.
func (m *command) print(answer response, code int, show func(raw []byte) error) int {
	if code != 0 {
		return code
	}
	if answer.status >= 300 {
		if m.args.JSON {
			_, _ = m.stdout.Write(answer.body)
		}
		printRefusal(m.stderr, answer)
		return exitCode(answer.status)
	}
	if m.args.JSON || show == nil {
		_, _ = m.stdout.Write(append([]byte(strings.TrimSpace(string(answer.body))), '\n'))
		return ExitOK
	}
	if err := show(answer.body); err != nil {
		fmt.Fprintf(m.stderr, "the answer of %s can't be read: %v\n", answer.address, err)
		return ExitUnreachable
	}
	return ExitOK
}

// table prints rows in aligned columns.
func (m *command) table(header string, rows [][]string) {
	w := tabwriter.NewWriter(m.stdout, 2, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.ReplaceAll(header, " ", "\t"))
	for _, r := range rows {
		_, _ = fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	_ = w.Flush()
}

func (m *command) config() int {
	c := m.args.Config
	switch {
	case c.Get != nil:
		uri := "/puffin/config"
		if c.Get.Version > 0 {
			return m.call(http.MethodGet, fmt.Sprintf("/puffin/history?version=%d", c.Get.Version), nil, nil)
		}
		return m.call(http.MethodGet, uri, nil, func(raw []byte) error {
			var got struct {
				Version  uint64         `json:"version"`
				Document map[string]any `json:"document"`
			}
			if err := json.Unmarshal(raw, &got); err != nil {
				return err
			}
			fmt.Fprintf(m.stderr, "version %d\n", got.Version)
			doc, err := json.MarshalIndent(got.Document, "", "  ")
			_, _ = fmt.Fprintln(m.stdout, string(doc))
			return err
		})
	case c.Check != nil:
		return m.withDocument(c.Check.File, func(doc []byte) int {
			return m.call(http.MethodPost, "/puffin/config/check", doc, func([]byte) error {
				_, err := fmt.Fprintln(m.stdout, "the document is good")
				m.notePrefixes(doc)
				return err
			})
		})
	case c.Diff != nil:
		return m.withDocument(c.Diff.File, m.diff)
	case c.Apply != nil:
		query := url.Values{"based_on": {fmt.Sprint(c.Apply.BaseVersion)}}
		if c.Apply.Emergency {
			query.Set("emergency", "true")
		}
		if c.Apply.Author != "" {
			query.Set("who", c.Apply.Author)
		}
		return m.withDocument(c.Apply.File, func(doc []byte) int {
			return m.callOnce(http.MethodPut, "/puffin/config", query, doc, func(raw []byte) error {
				var got struct {
					Version uint64 `json:"version"`
					Trial   uint64 `json:"trial"`
				}
				err := json.Unmarshal(raw, &got)
				fmt.Fprintf(m.stdout, "version %d is in force\n", got.Version)
				if got.Trial > 0 {
					fmt.Fprintf(m.stdout, "its paths are rehearsed as trial %d\n", got.Trial)
				}
				m.notePrefixes(doc)
				return err
			})
		})
	}
	fmt.Fprintln(m.stderr, "config knows get, check, apply and diff")
	return ExitUsage
}

// withDocument processes the content of a file, or of standard input for the name "-".
func (m *command) withDocument(name string, process func([]byte) int) int {
	var doc []byte
	var err error
	if name == "-" {
		doc, err = io.ReadAll(os.Stdin)
	} else {
		doc, err = os.ReadFile(name)
	}
	if err != nil {
		fmt.Fprintln(m.stderr, err)
		return ExitUsage
	}
	return process(doc)
}
