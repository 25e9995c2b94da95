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
	fieldCustomers      = "customers"
)

// location is the file and the list index at which an element of a merged list was
// written.
type location struct {
	file  string
	index int
}

// merger merges the parts of a configuration and records the file of each value.
type merger struct {
	merged      *schema.Configuration
	scalarFiles map[string]string
	elements    map[string][]location
}

func newMerger() *merger {
	return &merger{
		merged:      &schema.Configuration{},
		scalarFiles: make(map[string]string),
		elements:    make(map[string][]location),
	}
}

// add merges the part that was read from file. It reports each single value that an
// earlier file has already set.
func (mg *merger) add(file string, part *schema.Configuration) Problems {
	fs := &findings{file: file}
	if part.GetDeployment() != "" && mg.setOnce(fs, fieldDeployment, file, strconv.Quote(part.GetDeployment())) {
		mg.merged.Deployment = part.GetDeployment()
	}
	if part.GetVersion() != 0 && mg.setOnce(fs, fieldVersion, file, strconv.FormatUint(part.GetVersion(), 10)) {
		mg.merged.Version = part.GetVersion()
	}
	mg.merged.FailureDomains = append(mg.merged.FailureDomains, part.GetFailureDomains()...)
	mg.recordElements(fieldFailureDomains, file, len(part.GetFailureDomains()))
	mg.merged.Classes = append(mg.merged.Classes, part.GetClasses()...)
	mg.recordElements(fieldClasses, file, len(part.GetClasses()))
	mg.merged.Services = append(mg.merged.Services, part.GetServices()...)
	mg.recordElements(fieldServices, file, len(part.GetServices()))
	mg.merged.Routes = append(mg.merged.Routes, part.GetRoutes()...)
	mg.recordElements(fieldRoutes, file, len(part.GetRoutes()))
	mg.merged.Customers = append(mg.merged.Customers, part.GetCustomers()...)
	mg.recordElements(fieldCustomers, file, len(part.GetCustomers()))
	if part.GetLimits() != nil && mg.setOnce(fs, fieldLimits, file, "{...}") {
		mg.merged.Limits = part.GetLimits()
	}
	return fs.problems
}

// setOnce records that file sets a single value, and returns true. If an earlier file has
// set it, it adds a problem and returns false.
func (mg *merger) setOnce(fs *findings, field, file, value string) bool {
	if earlier, ok := mg.scalarFiles[field]; ok {
		fs.add(field, value, "is already set in "+earlier)
		return false
	}
	mg.scalarFiles[field] = file
	return true
}

// recordElements records that the next count elements of a merged list come from file.
func (mg *merger) recordElements(field, file string, count int) {
	for i := range count {
		mg.elements[field] = append(mg.elements[field], location{file: file, index: i})
	}
}

// attributeToFiles replaces the paths in problems of the merged configuration by the file
// and the path within that file. A field that no file sets is attributed to the folder
// dir.
func (mg *merger) attributeToFiles(dir string, problems Problems) Problems {
	for _, pr := range problems {
		if pr.otherField != "" {
			file, field := mg.originOf(dir, pr.otherField)
			pr.Reason = strings.TrimSuffix(pr.Reason, pr.otherField) + field + " of " + file
		}
		pr.File, pr.Field = mg.originOf(dir, pr.Field)
	}
	return problems
}

// originOf returns the file that sets a field of the merged configuration, and the path
// of the field in that file. If no file sets it, it returns dir and the path unchanged.
func (mg *merger) originOf(dir, field string) (file, local string) {
	list, rest, inList := strings.Cut(field, "[")
	if !inList {
		if file, ok := mg.scalarFiles[field]; ok {
			return file, field
		}
		return dir, field
	}
	number, rest, _ := strings.Cut(rest, "]")
	i, err := strconv.Atoi(number)
	if err != nil || i >= len(mg.elements[list]) {
		return dir, field
	}
	lo := mg.elements[list][i]
	return lo.file, elementPath(list, lo.index) + rest
}
