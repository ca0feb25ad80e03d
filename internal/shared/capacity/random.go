package capacity

// Random is a sequence of pseudo-random numbers (SplitMix64); its value is the state, the seed at first.
type Random uint64

// Next returns the next number.
func (r *Random) Next() uint64 {
	*r += 0x9e3779b97f4a7c15
	return Hash(uint64(*r))
}

// Hash mixes the bits of a value (the finalizer of SplitMix64), so that ids that come in runs hash far apart.
func Hash(value uint64) uint64 {
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	return value ^ value>>31
}
