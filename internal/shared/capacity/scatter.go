package capacity

// Random is a sequence of pseudo-random numbers.
type Random uint64

// Next is the next number.
func (r *Random) Next() uint64 {
	*r += 0x9e3779b97f4a7c15
	return Hash(uint64(*r))
}

// Hash hashes: ids carry no meaning, but may come in runs.
func Hash(value uint64) uint64 {
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	return value ^ value>>31
}
