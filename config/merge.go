package config

import (
	"strconv"
	"strings"

	"camphortrail/schema"
)

// Top-level fields of schema.Configuration.
const (
	fieldDeployment     = "deployment"
	fieldVersion        = "version"
	fieldFailureDomains = "failure-domains"
	fieldClasses        = "classes"
	fieldServices       = "services"
	fieldRoutes         = "routes"
	fieldLimits         = "limits"
)

// place is where an element of a merged list was written.
type place struct {
	file  string
	index int
}

// merge joins the parts of a configuration and remembers where each came
// from.
type merge struct {
	whole   *schema.Configuration
	scalars map[string]string
	lists   map[string][]place
}

func newMerge() *merge {
	return &merge{
		whole:   &schema.Configuration{},
		scalars: make(map[string]string),
		lists:   make(map[string][]place),
	}
}

// add joins the part read from file. A single value may be set once.
func (mg *merge) add(file string, part *schema.Configuration) Problems {
	fs := &findings{file: file}
	if part.GetDeployment() != "" && mg.claim(fs, fieldDeployment, file, strconv.Quote(part.GetDeployment())) {
		mg.whole.Deployment = part.GetDeployment()
	}
	if part.GetVersion() != 0 && mg.claim(fs, fieldVersion, file, strconv.FormatUint(part.GetVersion(), 10)) {
		mg.whole.Version = part.GetVersion()
	}
	mg.whole.FailureDomains = append(mg.whole.FailureDomains, part.GetFailureDomains()...)
	mg.note(fieldFailureDomains, file, len(part.GetFailureDomains()))
	mg.whole.Classes = append(mg.whole.Classes, part.GetClasses()...)
	mg.note(fieldClasses, file, len(part.GetClasses()))
	mg.whole.Services = append(mg.whole.Services, part.GetServices()...)
	mg.note(fieldServices, file, len(part.GetServices()))
	mg.whole.Routes = append(mg.whole.Routes, part.GetRoutes()...)
	mg.note(fieldRoutes, file, len(part.GetRoutes()))
	if part.GetLimits() != nil && mg.claim(fs, fieldLimits, file, "{...}") {
		mg.whole.Limits = part.GetLimits()
	}
	return fs.problems
}

func (mg *merge) claim(fs *findings, field, file, value string) bool {
	if earlier, ok := mg.scalars[field]; ok {
		fs.add(field, value, "is already set in "+earlier)
		return false
	}
	mg.scalars[field] = file
	return true
}

func (mg *merge) note(field, file string, count int) {
	for i := range count {
		mg.lists[field] = append(mg.lists[field], place{file: file, index: i})
	}
}

// locate rewrites problems of the merged message to name files and the fields
// within them. What no file sets is reported for the folder dir.
func (mg *merge) locate(dir string, problems Problems) Problems {
	for _, pr := range problems {
		if pr.other != "" {
			file, field := mg.origin(dir, pr.other)
			pr.Reason = strings.TrimSuffix(pr.Reason, pr.other) + field + " of " + file
		}
		pr.File, pr.Field = mg.origin(dir, pr.Field)
	}
	return problems
}

// origin returns the file that sets a field of the merged message, and the
// path of the field there.
func (mg *merge) origin(dir, field string) (file, local string) {
	list, rest, inList := strings.Cut(field, "[")
	if !inList {
		if file, ok := mg.scalars[field]; ok {
			return file, field
		}
		return dir, field
	}
	number, rest, _ := strings.Cut(rest, "]")
	i, err := strconv.Atoi(number)
	if err != nil || i >= len(mg.lists[list]) {
		return dir, field
	}
	pl := mg.lists[list][i]
	return pl.file, index(list, pl.index) + rest
}
