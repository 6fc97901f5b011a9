package registry

import (
	"regexp"

	"puffincrank/internal/settings"
)

// The tables of the bodies of applications' calls.
var (
	TabTake = settings.Table{Name: "app lock, POST", Rows: []settings.Setting{appOwner, appSpan}}
	TabHold = settings.Table{Name: "app lock, PUT", Rows: []settings.Setting{appOwner, appSpan, appFence}}
	TabFree = settings.Table{Name: "app lock, DELETE", Rows: []settings.Setting{appOwner, appFence}}
	TabNext = settings.Table{Name: "app number, POST"}
	TabCell = settings.Table{Name: "app key, PUT", Rows: TabKey.Rows}

	appOwner = settings.Setting{Name: "owner", Type: settings.Text, Must: true, Check: appName, Rule: "a name", Help: "who holds it"}
	appSpan  = settings.Setting{Name: "ttl_ms", Type: settings.Share, Must: true, Check: settings.Within(0.001, 86400000), Rule: "over 0, to 86400000", Help: "how long it stands without a renewal"}
	appFence = settings.Setting{Name: "fence", Type: settings.Count, Must: true, Check: settings.In(1, 1<<62), Rule: "a number", Help: "the fence got when it was taken"}
)

var appWord = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

type badName struct{}

func (badName) Error() string {
	return "must be 1 to 128 letters, digits, dots, colons, dashes or underscores"
}

func appName(v any) error {
	if s, _ := v.(string); !appWord.MatchString(s) {
		return badName{}
	}
	return nil
}
