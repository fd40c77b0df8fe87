package bmmeasure

import "io"

// All measures every series, one after the other.
func All() ([]Series, error) {
	list := Broker()
	list = append(list, Control()...)
	catalog, err := Catalog()
	if err != nil {
		return nil, err
	}
	list = append(list, catalog...)
	entry, err := Entry()
	if err != nil {
		return nil, err
	}
	list = append(list, entry...)
	claims, err := Claims()
	if err != nil {
		return nil, err
	}
	return append(list, claims...), nil
}

// PrintAll measures every series and writes the table to w.
func PrintAll(w io.Writer) error {
	list, err := All()
	if err != nil {
		return err
	}
	return Print(w, list)
}
