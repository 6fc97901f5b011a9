package registry

import (
	"regexp"

	"puffincrank/internal/schema"
)

// The tables of the bodies of applications' calls.
var (
	AcquireLockTable = schema.Table{Name: "app lock, POST", Fields: []schema.Field{appOwner, appSpan}}
	RenewLockTable   = schema.Table{Name: "app lock, PUT", Fields: []schema.Field{appOwner, appSpan, appFence}}
	ReleaseLockTable = schema.Table{Name: "app lock, DELETE", Fields: []schema.Field{appOwner, appFence}}
	NextNumberTable  = schema.Table{Name: "app number, POST"}
	PutGroupKeyTable = schema.Table{Name: "app key, PUT", Fields: KeyTable.Fields}

	appOwner = schema.Field{Name: "owner", Type: schema.Text, Required: true, Check: appName, Rule: "a name", Help: "who holds it"}
	appSpan  = schema.Field{Name: "ttl_ms", Type: schema.Number, Required: true, Check: schema.FloatRange(0.001, 86400000), Rule: "over 0, to 86400000", Help: "how long it stands without a renewal"}
	appFence = schema.Field{Name: "fence", Type: schema.Count, Required: true, Check: schema.IntRange(1, 1<<62), Rule: "a number", Help: "the fence got when it was taken"}
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
