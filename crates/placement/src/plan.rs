//! Plan of which waiting requests can be answered in time with the expected
//! capacity.

/// Waiting request, with times in seconds from now.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Job {
    /// End of the time within which the request is to start.
    pub(crate) start_by_s: f64,
    /// Latest start at which the deadline is met.
    pub(crate) last_start_s: f64,
    /// Expected work.
    pub(crate) work_s: f64,
    /// Priority; 0 is the most urgent.
    pub(crate) priority: u32,
    /// Index of the workspace in [`Forecast::usage_s`].
    pub(crate) workspace: usize,
    /// Whether its workspace recently used more than its fair share.
    pub(crate) is_over_share: bool,
    /// Whether it was decided that it waits for unused capacity.
    pub(crate) is_held: bool,
    /// Whether a more urgent request that needs no more work was refused instead.
    pub(crate) blocked: bool,
    /// Work per second that is left by the arrivals that are preferred.
    pub(crate) rate: f64,
}

/// Expected capacity.
#[derive(Debug)]
pub(crate) struct Forecast {
    /// Work per second that the targets accept from this entry.
    pub(crate) rate: f64,
    /// Work per second that counts as left for late requests.
    pub(crate) spare_rate: f64,
    /// Work per second that all arrivals leave; negative if they request more.
    pub(crate) unused_rate: f64,
    /// Whether requests were refused lately for lack of capacity.
    pub(crate) is_refusing: bool,
    /// Whether arrivals request more than the capacity.
    pub(crate) is_contended: bool,
    /// Recent work of each workspace.
    pub(crate) usage_s: Vec<f64>,
}

/// Indexes of the requests by decision.
#[derive(Debug, Default)]
pub(crate) struct Plan {
    /// Requests that can be answered within their target latency, in the order in
    /// which they start.
    pub(crate) on_time: Vec<usize>,
    /// Requests that can be answered before their deadline with capacity that is
    /// left, in the order in which they start.
    pub(crate) late: Vec<usize>,
    /// Requests that can't be answered in time to be of use.
    pub(crate) refused: Vec<usize>,
}

impl Plan {
    /// Plans the requests in order of preference: by priority, then fairly between
    /// workspaces by work, then those with the least work. Each is planned if it and
    /// all planned ones can start in time. A request is therefore left out only if
    /// those preferred to it use the capacity that it needs.
    pub(crate) fn new(jobs: &[Job], forecast: &mut Forecast) -> Self {
        let mut plan = Self::default();
        let mut remaining: Vec<usize> = (0..jobs.len()).collect();
        let mut left_out = Vec::new();
        while let Some(index) = take_preferred(&mut remaining, jobs, &forecast.usage_s) {
            let job = &jobs[index];
            if job.blocked {
                plan.refused.push(index);
            } else if job.start_by_s >= 0.0
                && !job.is_over_share
                && plan.try_insert(index, jobs, forecast.rate)
            {
                forecast.usage_s[job.workspace] += job.work_s;
            } else {
                left_out.push(index);
            }
        }
        // Requests that all can start in time free the slots soonest in this order.
        plan.on_time
            .sort_by(|a, b| jobs[*a].work_s.total_cmp(&jobs[*b].work_s));
        let mut ahead_s: f64 = plan.on_time.iter().map(|index| jobs[*index].work_s).sum();
        for index in left_out {
            let job = &jobs[index];
            let start_s = expected_start(ahead_s + job.work_s, forecast.spare_rate);
            if start_s <= job.last_start_s || (job.is_held && job.last_start_s >= 0.0) {
                plan.late.push(index);
                ahead_s += job.work_s;
            } else {
                plan.refused.push(index);
            }
        }
        plan
    }

    /// Inserts a request if it and those behind it can still start in time.
    fn try_insert(&mut self, index: usize, jobs: &[Job], rate: f64) -> bool {
        // In this order all start in time if there is an order in which they do.
        let key = |index: usize| jobs[index].start_by_s + jobs[index].work_s / rate;
        let own = key(index);
        let position = self.on_time.partition_point(|other| key(*other) <= own);
        self.on_time.insert(position, index);
        let mut ahead_s = 0.0;
        let is_feasible = self.on_time.iter().enumerate().all(|(place, other)| {
            let job = &jobs[*other];
            let in_time = expected_start(ahead_s, job.rate) <= job.start_by_s;
            ahead_s += job.work_s;
            in_time || place < position
        });
        if !is_feasible {
            self.on_time.remove(position);
        }
        is_feasible
    }
}

/// Returns the time until the work ahead of a request has started.
pub(crate) fn expected_start(ahead_s: f64, rate: f64) -> f64 {
    if ahead_s <= 0.0 {
        0.0
    } else if rate <= 0.0 {
        f64::INFINITY
    } else {
        ahead_s / rate
    }
}

/// Takes the preferred request out of those that remain.
fn take_preferred(remaining: &mut Vec<usize>, jobs: &[Job], usage_s: &[f64]) -> Option<usize> {
    let preferred = remaining.iter().enumerate().min_by(|(_, a), (_, b)| {
        let (a, b) = (&jobs[**a], &jobs[**b]);
        a.priority
            .cmp(&b.priority)
            .then(usage_s[a.workspace].total_cmp(&usage_s[b.workspace]))
            .then(a.work_s.total_cmp(&b.work_s))
    });
    let place = preferred?.0;
    // Keeps the others in order of arrival.
    Some(remaining.remove(place))
}
