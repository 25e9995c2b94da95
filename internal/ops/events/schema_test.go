package events

import (
	"os"
	"reflect"
	"strings"
	"testing"
)

// Operators read the log by docs/OPERATIONS.md, so that the page must name each field and
// each kind of event.
func TestSchemaIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	names := []string{string(Refused), string(GaveUp), string(Resent), string(Served), string(Failed), string(Accepted), string(RequestSummary), string(SlotSummary), string(ProcessSummary)}
	for _, of := range []reflect.Type{reflect.TypeFor[Line](), reflect.TypeFor[Event](), reflect.TypeFor[Traffic](), reflect.TypeFor[SlotUsage](), reflect.TypeFor[KindUsage](), reflect.TypeFor[ProcessUsage]()} {
		for i := range of.NumField() {
			if name, _, _ := strings.Cut(of.Field(i).Tag.Get("json"), ","); name != "" {
				names = append(names, name)
			}
		}
	}
	for _, name := range names {
		if !strings.Contains(string(page), "`"+name+"`") {
			t.Errorf("docs/OPERATIONS.md does not name %q", name)
		}
	}
}
