package plat

import "testing"

// Guards against settings of a trial that differ from those that the platform makes of the same template.
func TestFillSettings(t *testing.T) {
	s := ProcessSettings{Name: "vm0", Domain: "zone-a", Callers: "127.0.0.2:80", Ready: "127.0.0.2:81", Ports: []int{7, 8}, Store: "127.0.0.1:9", RetrySlack: 600}
	for template, want := range map[string]string{
		"Name = {{NodeName}}\nDomain = {{Zone}}\n": "Name = vm0\nDomain = zone-a\n",
		"{{Listen.Frontend}} {{Listen.Ready}}":     "127.0.0.2:80 127.0.0.2:81",
		"{{Ip}}:9464 {{Ip}}:{{PortRange.1}}":       "127.0.0.2:9464 127.0.0.2:8",
		"{{#Bounds.RetrySlack}}Slack = {{.}}{{/Bounds.RetrySlack}}\n{{#Bounds.GraceS}}Grace = {{.}}s{{/Bounds.GraceS}}": "Slack = 600\n",
		"[Store]\nAddresses = {{Platform.Address}}": "[Store]\nAddresses = 127.0.0.1:9",
	} {
		if got, err := s.Fill(template); err != nil || got != want {
			t.Errorf("Fill(%q) = %q, %v; want %q", template, got, err, want)
		}
	}
	if got, err := s.Fill("{{Platform.Region}}"); err == nil {
		t.Errorf("a template with an unknown value is filled in: %q", got)
	}
}
