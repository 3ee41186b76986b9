// This file implements the Bloom filter in a sync request. It holds the members that the
// requester already lists, so that the response can omit them.

package membership

const (
	// filterBitsPerMember is the number of filter bits for each member. maxFilterSize
	// limits the filter in bytes, so that it fits in a request.
	filterBitsPerMember = 8
	maxFilterSize       = 800
	// filterHashes is the number of bits that a member sets. About one in twenty missing
	// members is a false positive. The next request has another salt and thus other false
	// positives.
	filterHashes = 2
)

// bloomFilter is a set of live members (Bloom 1970). The salt changes which members are
// false positives.
type bloomFilter []byte

// filterOf returns the filter of a zone, or of all zones. It is empty if no live member is
// known there.
func (l *memberList) filterOf(zone Zone, salt uint32) bloomFilter {
	live := 0
	for _, record := range l.zoneStates(zone) {
		live += record.live
	}
	created := make(bloomFilter, min((live*filterBitsPerMember+7)/8, maxFilterSize))
	for _, record := range l.zoneStates(zone) {
		for _, known := range record.members {
			if known.update.State.live() {
				created.add(known.update, salt)
			}
		}
	}
	return created
}

// zoneStates returns the state of a zone, or of all zones.
func (l *memberList) zoneStates(zone Zone) []zoneState {
	if zone == allZones {
		return l.zones[:]
	}
	return l.zones[zone : zone+1]
}

func (f bloomFilter) add(update Update, salt uint32) {
	for number := range uint32(filterHashes) {
		position := f.position(update, salt, number)
		f[position/8] |= 1 << (position % 8)
	}
}

// has reports whether a member is in the filter or a false positive.
func (f bloomFilter) has(update Update, salt uint32) bool {
	for number := range uint32(filterHashes) {
		if len(f) == 0 {
			return false
		}
		position := f.position(update, salt, number)
		if f[position/8]&(1<<(position%8)) == 0 {
			return false
		}
	}
	return true
}

func (f bloomFilter) position(update Update, salt, number uint32) uint32 {
	mixed := uint64(update.hash()^salt*0x9e3779b9) + uint64(number)<<32
	mixed *= 0xbf58476d1ce4e5b9
	mixed ^= mixed >> 31
	mixed *= 0x94d049bb133111eb
	return uint32(mixed>>32) % uint32(8*len(f))
}

// lacks reports whether the sender of the filter needs the update: the member is live and
// not in the filter, or no longer live and in the filter.
func (f bloomFilter) lacks(known Update, salt uint32) bool {
	return known.State.live() != f.has(known, salt)
}
