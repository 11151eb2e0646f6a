package gateway

import (
	"fmt"
	"testing"
	"time"
)

// leavingHeader is how the targets of these tests say that they leave.
const leavingHeader = "Test-Leaving"

// Guards against requests to a target long after an answer to this box has said that the
// target leaves, with control and without.
func TestTargetThatLeavesGetsNothingMore(t *testing.T) {
	for _, boxes := range []int{1, 9, 30, 150} {
		for _, targets := range []int{1, 2, 4} {
			for _, control := range []bool{true, false} {
				t.Run(fmt.Sprint(boxes, " boxes, ", targets, " targets, control ", control), func(t *testing.T) {
					inVirtualTime(t, func(t *testing.T) {
						s := newNeedyScene(t, boxes, 4)
						s.control.setOff(!control, s.control.addresses()...)
						s.load(80, 2*time.Second)
						for _, target := range s.targets[:targets] {
							target.leave(true)
						}
						s.load(80, 6*time.Second)
						s.settle()
						for i, target := range s.targets {
							if got := target.afterLeaving(); got > 0 {
								t.Errorf("target %d got %d requests later than %s after it had said that it leaves", i, got, leavingGrace)
							}
						}
					})
				})
			}
		}
	}
}
