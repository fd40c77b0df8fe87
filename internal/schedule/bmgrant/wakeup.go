package bmgrant

// wakeUp wakes the goroutine that receives from it. Signals that come before it
// does are one.
type wakeUp chan struct{}

func newWakeUp() wakeUp {
	return make(wakeUp, 1)
}

// signal never blocks.
func (w wakeUp) signal() {
	select {
	case w <- struct{}{}:
	default:
	}
}
