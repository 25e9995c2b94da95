package config_test

import (
	"strings"
	"testing"

	"camphortrail/config"
	"camphortrail/schema"
)

// withCustomers returns a valid configuration with two customers and the keys of both.
func withCustomers() (cfg *schema.Configuration, first, second string) {
	first, second = "one-secret", "two-secret"
	cfg = sampleConfiguration()
	cfg.Customers = []*schema.Customer{
		{Name: "notary", KeyDigests: []string{config.DigestOfKey(first).String()}, Importance: 6, RequestsPer_1000S: 12_500, BurstThousandths: 500},
		{Name: "clerk", KeyDigests: []string{config.DigestOfKey(second).String(), config.DigestOfKey("two-more").String()}},
	}
	return cfg, first, second
}

func TestCustomerOfKey(t *testing.T) {
	cfg, first, _ := withCustomers()
	// A customer may list the same key twice.
	cfg.Customers[0].KeyDigests = append(cfg.Customers[0].KeyDigests, cfg.Customers[0].KeyDigests[0])
	cd, err := config.Compile(cfg, 9)
	if err != nil {
		t.Fatal(err)
	}
	cu, ok := cd.CustomerOfKey(first)
	if want := (config.Customer{Name: "notary", Importance: 6, Rate: 12.5, Burst: 0.5}); !ok || *cu != want {
		t.Errorf("CustomerOfKey = %+v, %v, want %+v", cu, ok, want)
	}
	if cu, ok := cd.CustomerOfKey("two-more"); !ok || cu.Name != "clerk" {
		t.Errorf("second key of a customer: %+v, %v", cu, ok)
	}
	if cu, ok := cd.CustomerOfKey("unknown"); ok {
		t.Errorf("unknown key belongs to %+v", cu)
	}
}

// Guards against a problem text that reveals a key or its digest, and against a customer that
// uses the key of another one.
func TestInvalidCustomers(t *testing.T) {
	for name, change := range map[string]func(cfg *schema.Configuration, key string){
		"customers[1].key-digests[1]": func(cfg *schema.Configuration, key string) {
			cfg.Customers[1].KeyDigests[1] = config.DigestOfKey(key).String()
		},
		"customers[0].key-digests[0]": func(cfg *schema.Configuration, key string) { cfg.Customers[0].KeyDigests[0] = key },
		"customers[1].name":           func(cfg *schema.Configuration, _ string) { cfg.Customers[1].Name = "notary" },
		"customers[0].name":           func(cfg *schema.Configuration, _ string) { cfg.Customers[0].Name = "" },
		"customers[0].importance":     func(cfg *schema.Configuration, _ string) { cfg.Customers[0].Importance = 8 },
	} {
		cfg, key, _ := withCustomers()
		change(cfg, key)
		err := config.Check(cfg)
		if err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: error %v", name, err)
			continue
		}
		if text := err.Error(); strings.Contains(text, key) || strings.Contains(text, config.DigestOfKey(key).String()) {
			t.Errorf("%s: the error reveals a key: %v", name, err)
		}
	}
}
