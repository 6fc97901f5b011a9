package ctl

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"puffincrank/internal/judge"
	"puffincrank/internal/statemachine"
)

func (m *command) propose() int {
	p := m.a.Propose
	in := map[string]any{"path": p.Path}
	if p.Slice != nil {
		in["slice"] = *p.Slice
	}
	if p.Service != nil {
		in["service"] = *p.Service
	}
	if p.Split != nil {
		parts, err := splits(*p.Split)
		if err != nil {
			fmt.Fprintf(m.say, "puffinctl: %v; see --help\n", err)
			return ExitUsage
		}
		in["split"] = parts
	}
	if p.Class != nil {
		in["class"] = *p.Class
	}
	if p.Rank != nil {
		in["rank"] = *p.Rank
	}
	if p.Aim != nil {
		in["aim_ms"] = *p.Aim
	}
	if p.Left != nil {
		in["left_ms"] = *p.Left
	}
	if p.Repeat != nil {
		in["repeat"] = *p.Repeat
	}
	if p.Tries != nil {
		in["tries"] = *p.Tries
	}
	q := url.Values{"based_on": {fmt.Sprint(p.Base)}}
	if p.Who != "" {
		q.Set("who", p.Who)
	}
	return m.order(http.MethodPost, "/puffin/trials", q, pack(in), func(raw []byte) error {
		var got struct {
			Version, Trial uint64
		}
		err := json.Unmarshal(raw, &got)
		fmt.Fprintf(m.out, "trial %d began with version %d; see 'puffinctl trials watch %d'\n", got.Trial, got.Version, got.Trial)
		return err
	})
}

type oneTrial struct {
	Version uint64             `json:"version"`
	Trial   statemachine.Trial `json:"trial"`
	Figures []judge.Facts      `json:"figures"`
}

func (m *command) trials() int {
	t := m.a.Trials
	at := fmt.Sprintf("/puffin/trials/%d", t.ID)
	if t.ID == 0 && (t.Op == "show" || t.Op == "watch" || t.Op == "abort") {
		fmt.Fprintf(m.say, "trials %s needs a trial's number; 'puffinctl trials' lists them\n", t.Op)
		return ExitUsage
	}
	switch t.Op {
	case "list":
		return m.show(http.MethodGet, "/puffin/trials", nil, func(raw []byte) error {
			var got struct {
				Version uint64               `json:"version"`
				Trials  []statemachine.Trial `json:"trials"`
			}
			if err := json.Unmarshal(raw, &got); err != nil {
				return err
			}
			fmt.Fprintf(m.say, "version %d\n", got.Version)
			var rows [][]string
			for _, t := range got.Trials {
				end := "-"
				if t.End > 0 {
					end = fmt.Sprint(t.End)
				}
				rows = append(rows, []string{fmt.Sprint(t.ID), t.State, fmt.Sprint(t.Routes), fmt.Sprint(t.Slice), fmt.Sprint(t.Begin), end, t.Who, t.Why})
			}
			m.table("TRIAL STATE PATHS SLICE BEGAN ENDED WHO WHY", rows)
			return nil
		})
	case "show":
		return m.show(http.MethodGet, at, nil, func(raw []byte) error {
			var got oneTrial
			err := json.Unmarshal(raw, &got)
			m.showTrial(got)
			return err
		})
	case "watch":
		for {
			var got oneTrial
			code := m.show(http.MethodGet, at, nil, func(raw []byte) error {
				err := json.Unmarshal(raw, &got)
				m.showTrial(got)
				return err
			})
			if code != ExitOK || got.Trial.State != statemachine.Running || m.a.JSON {
				return code
			}
			t := time.NewTimer(2 * time.Second)
			<-t.C
		}
	case "abort":
		q := url.Values{}
		if t.Who != "" {
			q.Set("who", t.Who)
		}
		return m.order(http.MethodPost, at+"/abort", q, []byte("{}"), func(raw []byte) error {
			_, err := fmt.Fprintf(m.out, "trial %d is aborted; the old path stays\n", t.ID)
			return err
		})
	}
	fmt.Fprintln(m.say, "trials knows list, show, watch and abort")
	return ExitUsage
}

func (m *command) showTrial(t oneTrial) {
	fmt.Fprintf(m.out, "trial %d %s: paths %v, slice %v %%, proposed by %s, begun with version %d\n", t.Trial.ID, t.Trial.State, t.Trial.Routes, t.Trial.Slice, t.Trial.Who, t.Trial.Begin)
	if t.Trial.Why != "" {
		fmt.Fprintf(m.out, "ended with version %d: %s\n", t.Trial.End, t.Trial.Why)
	}
	var rows [][]string
	for _, f := range t.Figures {
		rows = append(rows, []string{f.Route, f.Verdict, fmt.Sprint(f.Old.Total()), fmt.Sprint(f.New.Total()), fmt.Sprintf("%.2f%%", 100*f.FailureRateOld), fmt.Sprintf("%.2f%%", 100*f.FailureRateNew),
			fmt.Sprintf("%.0f", f.LatencyOld), fmt.Sprintf("%.0f", f.LatencyNew), f.Reason})
	}
	m.table("PATH WORD JOBS_OLD JOBS_NEW FAIL_OLD FAIL_NEW MS_OLD MS_NEW WHY", rows)
}
