package capacity

// Random is a sequence of pseudo-random numbers.
type Random uint64

// Next is the next number.
func (s *Random) Next() uint64 {
	*s += 0x9e3779b97f4a7c15
	return Hash(uint64(*s))
}

// Hash hashes: ids carry no meaning, but may come in runs.
func Hash(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
