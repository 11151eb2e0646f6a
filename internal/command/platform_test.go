package command

import "testing"

// The leading bits of registered addresses are replaced by those of the network; what is no IPv4 address
// stays as it is.
func TestTargetNetworkTranslatesAddresses(t *testing.T) {
	for _, c := range []struct{ network, registered, want string }{
		{"10.1.0.0/16", "127.80.3.4:7000", "10.1.3.4:7000"},
		{"10.1.7.0/12", "127.89.3.4:7000", "10.9.3.4:7000"},
		{"10.1.2.3/32", "127.80.3.4:7000", "10.1.2.3:7000"},
		{"0.0.0.0/0", "127.80.3.4:7000", "127.80.3.4:7000"},
		{"10.1.0.0/16", "[::1]:7000", "[::1]:7000"},
		{"10.1.0.0/16", "target", "target"},
	} {
		translate, err := parseTargetNetwork(c.network)
		if err != nil {
			t.Fatal(err)
		}
		if got := translate(c.registered); got != c.want {
			t.Errorf("%s in %s: got %s, want %s", c.registered, c.network, got, c.want)
		}
	}
	if translate, err := parseTargetNetwork(""); translate != nil || err != nil {
		t.Errorf("without a network: %v", err)
	}
	if _, err := parseTargetNetwork("10.1.0.0"); err == nil {
		t.Error("an address was accepted as a network")
	}
}
