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
	names, keys := make(fieldByValue), make(map[KeyDigest]string)
	count := 0
	for i, cu := range list {
		at := elementPath(fieldCustomers, i)
		ck.checkLabel(joinPath(at, "name"), cu.GetName())
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
			ck.checkKeyDigest(keys, elementPath(joinPath(at, "key-digests"), j), text)
		}
	}
	if count > maxKeys {
		ck.addNumber(fieldCustomers, uint64(count), "have more than 65536 keys")
	}
}

// checkKeyDigest checks the digest of a key. keys holds the fields of those that were checked.
func (ck *checker) checkKeyDigest(keys map[KeyDigest]string, field, text string) {
	kd, ok := parseKeyDigest(text)
	if !ok {
		ck.add(field, "", "must be a SHA-256 digest in 64 hexadecimal digits")
		return
	}
	if earlier, ok := keys[kd]; ok {
		ck.addConflict(field, "", "is the same key as", earlier)
		return
	}
	keys[kd] = field
}
