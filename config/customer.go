package config

import (
	"crypto/sha256"
	"encoding/hex"

	"camphortrail/call"
	"camphortrail/schema"
)

// Customer is a compiled customer.
type Customer struct {
	Name call.Customer
	// Importance replaces that of the route of a request, unless it is 0.
	Importance call.Importance
	// Rate is the usage cap over all nodes, in requests per second, or 0 if there is none.
	// Burst is the number of requests that may come at once beyond it.
	Rate, Burst float64
}

// KeyDigest identifies a key of a customer without revealing it.
type KeyDigest [sha256.Size]byte

// DigestOfKey returns the digest of a key.
func DigestOfKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// String returns the digest in hexadecimal digits, as configurations hold it.
func (kd KeyDigest) String() string { return hex.EncodeToString(kd[:]) }

// parseKeyDigest parses the text of KeyDigest.String.
func parseKeyDigest(text string) (kd KeyDigest, ok bool) {
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != len(kd) {
		return KeyDigest{}, false
	}
	return KeyDigest(data), true
}

// customers holds the compiled customers by the digests of their keys. A look-up compares
// digests, so that its time reveals nothing of a key.
type customers struct {
	byKey  map[KeyDigest]*Customer
	byName map[call.Customer]*Customer
}

// addCustomers compiles the customers of a configuration.
func (cd *Compiled) addCustomers(list []*schema.Customer) {
	if len(list) == 0 {
		return
	}
	cd.customers = customers{byKey: make(map[KeyDigest]*Customer), byName: make(map[call.Customer]*Customer, len(list))}
	for _, cu := range list {
		out := &Customer{
			Name: call.Customer(cu.GetName()), Importance: call.Importance(cu.GetImportance()),
			Rate: float64(cu.GetRequestsPer_1000S()) / 1000, Burst: float64(cu.GetBurstThousandths()) / 1000,
		}
		cd.customers.byName[out.Name] = out
		for _, text := range cu.GetKeyDigests() {
			if kd, ok := parseKeyDigest(text); ok {
				cd.customers.byKey[kd] = out
			}
		}
	}
}

// HasCustomers reports whether the configuration names customers, so that requests need keys.
func (cd *Compiled) HasCustomers() bool { return len(cd.customers.byName) > 0 }

// CustomerOfKey returns the customer that holds a key.
func (cd *Compiled) CustomerOfKey(key string) (*Customer, bool) {
	cu, ok := cd.customers.byKey[DigestOfKey(key)]
	return cu, ok
}

// Customer returns the customer with the given name.
func (cd *Compiled) Customer(name call.Customer) (*Customer, bool) {
	cu, ok := cd.customers.byName[name]
	return cu, ok
}
