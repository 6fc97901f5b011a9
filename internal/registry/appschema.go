package registry

import (
	"regexp"

	"puffincrank/internal/schema"
)

// The schemas of the bodies of applications' calls.
var (
	AcquireLockTable = schema.Table{Name: "app lock, POST", Fields: []schema.Field{ownerField, ttlField}}
	RenewLockTable   = schema.Table{Name: "app lock, PUT", Fields: []schema.Field{ownerField, ttlField, fenceField}}
	ReleaseLockTable = schema.Table{Name: "app lock, DELETE", Fields: []schema.Field{ownerField, fenceField}}
	NextNumberTable  = schema.Table{Name: "app number, POST"}
	PutGroupKeyTable = schema.Table{Name: "app key, PUT", Fields: KeyTable.Fields}

	ownerField = schema.Field{Name: "owner", Type: schema.Text, Required: true, Check: checkAppName, Rule: "a name", Help: "who holds it"}
	ttlField   = schema.Field{Name: "ttl_ms", Type: schema.Number, Required: true, Check: schema.FloatRange(0.001, 86400000), Rule: "over 0, to 86400000", Help: "how long it stands without a renewal"}
	fenceField = schema.Field{Name: "fence", Type: schema.Count, Required: true, Check: schema.IntRange(1, 1<<62), Rule: "a number", Help: "the fence got when it was taken"}
)

var appNamePattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

type invalidNameError struct{}

func (invalidNameError) Error() string {
	return "must be 1 to 128 letters, digits, dots, colons, dashes or underscores"
}

func checkAppName(v any) error {
	if s, _ := v.(string); !appNamePattern.MatchString(s) {
		return invalidNameError{}
	}
	return nil
}
