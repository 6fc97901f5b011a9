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
	p := m.args.Propose
	change := map[string]any{"path": p.Path}
	if p.Slice != nil {
		change["slice"] = *p.Slice
	}
	if p.Service != nil {
		change["service"] = *p.Service
	}
	if p.Split != nil {
		split, err := parseSplit(*p.Split)
		if err != nil {
			fmt.Fprintf(m.stderr, "puffinctl: %v; see --help\n", err)
			return ExitUsage
		}
		change["split"] = split
	}
	if p.Class != nil {
		change["class"] = *p.Class
	}
	if p.Rank != nil {
		change["rank"] = *p.Rank
	}
	if p.TargetLatencyMS != nil {
		change["aim_ms"] = *p.TargetLatencyMS
	}
	if p.TimeoutMS != nil {
		change["left_ms"] = *p.TimeoutMS
	}
	if p.Retry != nil {
		change["repeat"] = *p.Retry
	}
	if p.Attempts != nil {
		change["tries"] = *p.Attempts
	}
	query := url.Values{"based_on": {fmt.Sprint(p.BaseVersion)}}
	if p.Author != "" {
		query.Set("who", p.Author)
	}
	return m.callOnce(http.MethodPost, "/puffin/trials", query, encodeJSON(change), func(raw []byte) error {
		var got struct {
			Version, Trial uint64
		}
		err := json.Unmarshal(raw, &got)
		fmt.Fprintf(m.stdout, "trial %d began with version %d; see 'puffinctl trials watch %d'\n", got.Trial, got.Version, got.Trial)
		return err
	})
}

// trialReport is the answer to a request for one trial.
type trialReport struct {
	Version uint64             `json:"version"`
	Trial   statemachine.Trial `json:"trial"`
	Figures []judge.Facts      `json:"figures"`
}

func (m *command) trials() int {
	t := m.args.Trials
	uri := fmt.Sprintf("/puffin/trials/%d", t.ID)
	if t.ID == 0 && (t.Op == "show" || t.Op == "watch" || t.Op == "abort") {
		fmt.Fprintf(m.stderr, "trials %s needs a trial's number; 'puffinctl trials' lists them\n", t.Op)
		return ExitUsage
	}
	switch t.Op {
	case "list":
		return m.call(http.MethodGet, "/puffin/trials", nil, func(raw []byte) error {
			var got struct {
				Version uint64               `json:"version"`
				Trials  []statemachine.Trial `json:"trials"`
			}
			if err := json.Unmarshal(raw, &got); err != nil {
				return err
			}
			fmt.Fprintf(m.stderr, "version %d\n", got.Version)
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
		return m.call(http.MethodGet, uri, nil, func(raw []byte) error {
			var got trialReport
			err := json.Unmarshal(raw, &got)
			m.showTrial(got)
			return err
		})
	case "watch":
		for {
			var got trialReport
			code := m.call(http.MethodGet, uri, nil, func(raw []byte) error {
				err := json.Unmarshal(raw, &got)
				m.showTrial(got)
				return err
			})
			if code != ExitOK || got.Trial.State != statemachine.Running || m.args.JSON {
				return code
			}
			t := time.NewTimer(2 * time.Second)
			<-t.C
		}
	case "abort":
		query := url.Values{}
		if t.Author != "" {
			query.Set("who", t.Author)
		}
		return m.callOnce(http.MethodPost, uri+"/abort", query, []byte("{}"), func(raw []byte) error {
			_, err := fmt.Fprintf(m.stdout, "trial %d is aborted; the old path stays\n", t.ID)
			return err
		})
	}
	fmt.Fprintln(m.stderr, "trials knows list, show, watch and abort")
	return ExitUsage
}

func (m *command) showTrial(report trialReport) {
	fmt.Fprintf(m.stdout, "trial %d %s: paths %v, slice %v %%, proposed by %s, begun with version %d\n", report.Trial.ID, report.Trial.State, report.Trial.Routes, report.Trial.Slice, report.Trial.Who, report.Trial.Begin)
	if report.Trial.Why != "" {
		fmt.Fprintf(m.stdout, "ended with version %d: %s\n", report.Trial.End, report.Trial.Why)
	}
	var rows [][]string
	for _, f := range report.Figures {
		rows = append(rows, []string{f.Route, f.Verdict, fmt.Sprint(f.Old.Total()), fmt.Sprint(f.New.Total()), fmt.Sprintf("%.2f%%", 100*f.FailureRateOld), fmt.Sprintf("%.2f%%", 100*f.FailureRateNew),
			fmt.Sprintf("%.0f", f.LatencyOld), fmt.Sprintf("%.0f", f.LatencyNew), f.Reason})
	}
	m.table("PATH WORD JOBS_OLD JOBS_NEW FAIL_OLD FAIL_NEW MS_OLD MS_NEW WHY", rows)
}
