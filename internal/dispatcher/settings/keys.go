package settings

import (
	"errors"
	"fmt"

	"cinderroad/loadbalancer"
)

// InvalidValueError is an invalid value of the deployment's settings.
type InvalidValueError struct {
	Key   string // such as guarantees.coldShare or categories[2].worth
	Value any
}

// Error names the key.
func (e *InvalidValueError) Error() string {
	return fmt.Sprintf("settings: bad %s: %v", e.Key, e.Value)
}

// keys are the keys of the fields of loadbalancer.Settings.
var keys = map[string]string{
	"Classes":               "categories",
	"Zones":                 "failureDomains",
	"Zone":                  "zone",
	"Instances":             "nInstances",
	"Instance":              "me",
	"MaxAttempts":           "limits.attemptsCap",
	"MaxRetryAfter":         "limits.maxRetryAfterS",
	"Tick":                  "tickS",
	"AnswerSlack":           "guarantees.answerSlackS",
	"ListRefreshInterval":   "guarantees.askWithinS",
	"SlowStartDuration":     "guarantees.coldS",
	"SlowStartInitialShare": "guarantees.coldShare",
	"OverloadMultiple":      "guarantees.fallMultiple",
	"OverloadWindow":        "guarantees.fallS",
	"OverQuotaValue":        "overShareWorth",
}

// classKeys are the keys of the fields of a loadbalancer.Class; %d is its index.
var classKeys = map[string]string{
	"Objective":      "categories[%d].objectiveS",
	"Deadline":       "categories[%d].deadlineS",
	"Stretch":        "categories[%d].aimStretch",
	"DedupWindow":    "categories[%d].windowS",
	"Value":          "categories[%d].worth",
	"LateValueShare": "categories[%d].lateShare",
	"RetrySafety":    "categories[%d].repeat",
	"DedupScope":     "categories[%d].dedupScope",
	"Kind":           "familyInfo.classKind[%d]",
}

// Explain returns the error of loadbalancer.New for settings of Parse as an *InvalidValueError, which names the key of the
// file. Other errors are returned as they are.
func Explain(err error) error {
	var invalid *loadbalancer.InvalidSettingError
	if !errors.As(err, &invalid) {
		return err
	}
	switch invalid.List {
	case "Classes":
		if key, known := classKeys[invalid.Field]; known {
			return &InvalidValueError{fmt.Sprintf(key, invalid.Index), invalid.Value}
		}
	case "Tenants":
		return &InvalidValueError{fmt.Sprintf("tenants[%d].quotaPerS", invalid.Index), invalid.Value}
	case "":
		if key, known := keys[invalid.Field]; known {
			return &InvalidValueError{key, invalid.Value}
		}
	}
	return err
}
