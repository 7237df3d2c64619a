package fleet

// JoinNow does what Run does to join, with what the roster lists, on the caller's goroutine.
func (f *Fleet) JoinNow(listed []Member) {
	f.contactListed(listed)
	f.joined.Store(true)
	f.step()
}
