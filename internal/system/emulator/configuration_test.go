package emulator

import (
	"encoding/json"
	"testing"

	"cinderroad/internal/system/configuration"
	"cinderroad/internal/system/policysim"
)

func TestConfigurationIsAcceptedBySystem(t *testing.T) {
	for _, scenario := range []*policysim.Scenario{policysim.Screening(), policysim.Parcels()} {
		body, err := json.Marshal(configurationDocumentOf(scenario, firstVersion))
		if err != nil {
			t.Fatal(err)
		}
		d, err := configuration.ParseAndValidate(body, 0)
		if err != nil {
			t.Fatalf("%s: %v", scenario.Name, err)
		}
		if d.Version() != firstVersion {
			t.Errorf("%s: version %d", scenario.Name, d.Version())
		}
		class := scenario.Classes[0]
		class.Name = "added"
		body, err = json.Marshal(changeDocument{Version: firstVersion + versionStep,
			Replace: changedItems{Routes: []routeDocument{routeDocumentOf(&class)}}})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := configuration.ApplyAndValidate(body, d); err != nil {
			t.Errorf("%s: change: %v", scenario.Name, err)
		}
	}
}
