package owner

import (
	"fmt"
	"strings"
	"time"

	"github.com/berylspar/spar/shard"
)

// reportFills logs and counts what fills cost the serving tasks beside them.
func (t *term) reportFills(now time.Time) {
	s, ok := t.scheduler.FillSummary(now)
	if !ok {
		return
	}
	t.Counter("serving_over_target_ms").Inc(s.OverTarget.Milliseconds())
	given := 0.0
	if len(s.Groups) > 0 {
		given = s.Groups[0].Given
	}
	t.Gauge("highest_slack_given").Update(given)
	if s.OverTarget > 0 || given > 0 {
		t.Info("slack given to fills", "over_target_ms", s.OverTarget.Milliseconds(), "groups", describeGroups(s.Groups), "epoch", t.epoch)
	}
}

// describeGroups lists serving groups with the slack that fills take and that they
// have without fills.
func describeGroups(groups []shard.GroupSlack) string {
	var out []string
	for _, g := range groups {
		out = append(out, fmt.Sprintf("%s of %s on %s: %.2f of %.2f", g.Image, g.Job, g.Node, g.Given, g.Slack))
	}
	return strings.Join(out, "; ")
}
