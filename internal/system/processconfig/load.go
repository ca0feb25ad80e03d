package processconfig

import (
	"fmt"
	"os"
)

// PathVariable is the environment variable that holds the path of the settings file.
const PathVariable = "CINDERROAD_SETTINGS"

// Load reads the settings file that PathVariable names. An error is a *MissingPathError, or wraps that of the file
// system or a *validation.Error.
func Load() (*Settings, error) {
	path := os.Getenv(PathVariable)
	if path == "" {
		return nil, &MissingPathError{}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("processconfig: read the settings that %s names: %w", PathVariable, err)
	}
	settings, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("processconfig: settings in %s: %w", path, err)
	}
	return settings, nil
}

// MissingPathError says that PathVariable is not set.
type MissingPathError struct{}

// Error says what to do.
func (e *MissingPathError) Error() string {
	return "processconfig: set " + PathVariable + " to the path of the settings file"
}
