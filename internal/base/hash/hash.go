// Package hash spreads the bits of simple sums.
//
// # Usage
//
//	w := hash.Mix(fnvSum)
//
// The sums are not for security.
package hash

// Mix spreads the bits of a sum, so that inputs which differ in the last letter
// get values far apart. It is the last step of MurmurHash3 and loses nothing.
func Mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
