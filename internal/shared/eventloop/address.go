package eventloop

import (
	"net/netip"

	"golang.org/x/sys/unix"
)

// sockaddr converts an address for system calls.
func sockaddr(addr netip.AddrPort) (family int, sa unix.Sockaddr) {
	if ip := addr.Addr().Unmap(); ip.Is4() {
		return unix.AF_INET, &unix.SockaddrInet4{Port: int(addr.Port()), Addr: ip.As4()}
	}
	return unix.AF_INET6, &unix.SockaddrInet6{Port: int(addr.Port()), Addr: addr.Addr().As16()}
}

func addrPortOf(sa unix.Sockaddr, err error) netip.AddrPort {
	if err != nil {
		return netip.AddrPort{}
	}
	switch a := sa.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr), uint16(a.Port))
	}
	return netip.AddrPort{}
}
