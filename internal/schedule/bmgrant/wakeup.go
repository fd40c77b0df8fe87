package bmgrant

// wakeUp wakes the goroutine that receives from it. Several signals before the
// receive count as one.
type wakeUp chan struct{}

func newWakeUp() wakeUp {
	return make(wakeUp, 1)
}

// signal wakes the receiver. It never blocks.
func (w wakeUp) signal() {
	select {
	case w <- struct{}{}:
	default:
	}
}
