package config

import (
	"camphortrail/call"
	"camphortrail/schema"
)

// Bounds of customers. maxKeys is per configuration, and maxCap applies to both numbers of a
// usage cap.
const (
	maxCustomers = 1 << 14
	maxKeys      = 1 << 16
	maxCap       = 1 << 40
)

// checkCustomers checks the customers. Their names and keys must be unique. Problems name the
// customers that have a key, but neither the key nor its digest.
func (ck *checker) checkCustomers(list []*schema.Customer) {
	if len(list) > maxCustomers {
		ck.addNumber(fieldCustomers, uint64(len(list)), "has more than 16384 elements")
		return
	}
	names, keys := make(fieldByValue), make(map[KeyDigest]keyField)
	count := 0
	for i, cu := range list {
		at := elementPath(fieldCustomers, i)
		ck.checkLabel(joinPath(at, "name"), cu.GetName(), maxLabelBytes)
		ck.checkUnique(names, joinPath(at, "name"), cu.GetName())
		if cu.GetImportance() > uint32(call.MaxImportance) {
			ck.addNumber(joinPath(at, "importance"), uint64(cu.GetImportance()), "must be from 0 to 7")
		}
		if cu.GetRequestsPer_1000S() > maxCap {
			ck.addNumber(joinPath(at, "requests-per-1000s"), cu.GetRequestsPer_1000S(), "must be at most 1099511627776")
		}
		if cu.GetBurstThousandths() > maxCap {
			ck.addNumber(joinPath(at, "burst-thousandths"), cu.GetBurstThousandths(), "must be at most 1099511627776")
		}
		count += len(cu.GetKeyDigests())
		for j, text := range cu.GetKeyDigests() {
			ck.checkKeyDigest(keys, keyField{i, elementPath(joinPath(at, "key-digests"), j)}, text)
		}
	}
	if count > maxKeys {
		ck.addNumber(fieldCustomers, uint64(count), "have more than 65536 keys")
	}
}

// keyField is a field with a key, and the index of the customer that it belongs to.
type keyField struct {
	customer int
	path     string
}

// checkKeyDigest checks the digest of a key. keys holds the fields of those that were checked. A
// customer may have the same key twice.
func (ck *checker) checkKeyDigest(keys map[KeyDigest]keyField, field keyField, text string) {
	kd, ok := parseKeyDigest(text)
	if !ok {
		ck.add(field.path, "", "must be a SHA-256 digest in 64 hexadecimal digits")
		return
	}
	if earlier, ok := keys[kd]; ok && earlier.customer != field.customer {
		ck.addConflict(field.path, "", "is the same key as", earlier.path)
		return
	}
	keys[kd] = field
}
