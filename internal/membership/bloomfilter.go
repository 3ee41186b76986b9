// This file implements the summary of a zone by which a member tells another, in a request, what
// it need not be sent.

package membership

const (
	// summaryBits is how many bits of a summary a member takes, and maximumSummary bounds it in
	// bytes, so that it fits into a request.
	summaryBits    = 8
	maximumSummary = 800
	// summaryHashes is how many of them a member sets. Some one in twenty of the members that
	// are missing is taken for known; with the next request, which has another salt, others are.
	summaryHashes = 2
)

// summary is the set of live members of a zone, by a Bloom filter (Bloom 1970). A salt decides
// which members are mistaken for each other.
type summary []byte

// summaryOf returns the summary of a zone, or of all, empty if nobody is known there.
func (r *roster) summaryOf(zone Zone, salt uint32) summary {
	live := 0
	for _, record := range r.recordsOf(zone) {
		live += record.live
	}
	created := make(summary, min((live*summaryBits+7)/8, maximumSummary))
	for _, record := range r.recordsOf(zone) {
		for _, known := range record.members {
			if known.update.State.live() {
				created.add(known.update, salt)
			}
		}
	}
	return created
}

// recordsOf returns what is known of a zone, or of all.
func (r *roster) recordsOf(zone Zone) []zoneRecord {
	if zone == allZones {
		return r.zones[:]
	}
	return r.zones[zone : zone+1]
}

func (s summary) add(update Update, salt uint32) {
	for number := range uint32(summaryHashes) {
		position := s.position(update, salt, number)
		s[position/8] |= 1 << (position % 8)
	}
}

// has reports whether a member is in the summary, or is mistaken for others that are.
func (s summary) has(update Update, salt uint32) bool {
	for number := range uint32(summaryHashes) {
		if len(s) == 0 {
			return false
		}
		position := s.position(update, salt, number)
		if s[position/8]&(1<<(position%8)) == 0 {
			return false
		}
	}
	return true
}

func (s summary) position(update Update, salt, number uint32) uint32 {
	mixed := uint64(update.hash()^salt*0x9e3779b9) + uint64(number)<<32
	mixed *= 0xbf58476d1ce4e5b9
	mixed ^= mixed >> 31
	mixed *= 0x94d049bb133111eb
	return uint32(mixed>>32) % uint32(8*len(s))
}

// lacks reports whether a member is news for who sent the summary: it lives and is not known
// there, or has ended and is taken for live there.
func (s summary) lacks(known Update, salt uint32) bool {
	return known.State.live() != s.has(known, salt)
}
