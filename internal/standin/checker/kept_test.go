package checker

// keptCuts has requests of kept connections passed on and cut off, at any time.
func keptCuts() []breach {
	// kept has so many requests of kept connections passed on and cut off, at any time.
	kept := func(name, rule string, many int, change func(t *Try, v *Visit)) breach {
		return breach{name, rule, func(d *day) {
			for range many {
				t := d.ask()
				t.Kept = true
				v := d.run(t, d.k)
				change(t, v)
				d.cut(t)
				d.whole()
			}
		}}
	}
	return []breach{
		kept("requests of kept connections cut off", Lost, 4, func(*Try, *Visit) {}),
		kept("requests of kept connections cut off now and then", "", 3, func(*Try, *Visit) {}),
		kept("their worker broke off", "", 4, func(_ *Try, v *Visit) { v.Broke = true }),
		kept("on new connections", "", 4, func(t *Try, _ *Visit) { t.Kept = false }),
	}
}
