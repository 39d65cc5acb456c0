//! Expected run times in microseconds: moving averages by class, and an online linear regression on the
//! stated cost.

use super::*;

#[derive(Default)]
pub struct RunTimeModel {
    /// Mean run time by class index, in microseconds.
    pub class_means: BTreeMap<usize, f64>,
    /// Mean stated cost, in microseconds; none before the first run with a stated cost.
    mean_cost: Option<f64>,
    /// Mean run time of the runs with a stated cost, in microseconds.
    mean_time: f64,
    /// Variance of the stated cost.
    cost_variance: f64,
    /// Covariance of the stated cost and the run time.
    covariance: f64,
}

impl RunTimeModel {
    /// Learns from a run of a class, with its stated cost and its run time in microseconds.
    pub fn record(&mut self, class: usize, cost: Option<f64>, run_time: f64) {
        let mean = self.class_means.entry(class).or_insert(run_time);
        *mean = ewma(*mean, run_time);
        let Some(cost) = cost else { return };
        let mean_cost = self.mean_cost.unwrap_or(cost);
        let mean_time = self.mean_cost.map_or(run_time, |_| self.mean_time);
        let (cost_offset, time_offset) = (cost - mean_cost, run_time - mean_time);
        self.mean_cost = Some(mean_cost + EWMA_WEIGHT * cost_offset);
        self.mean_time = mean_time + EWMA_WEIGHT * time_offset;
        let weighted = |moment: f64, product: f64| (1.0 - EWMA_WEIGHT) * (moment + product);
        self.cost_variance = weighted(self.cost_variance, EWMA_WEIGHT * cost_offset * cost_offset);
        self.covariance = weighted(self.covariance, EWMA_WEIGHT * cost_offset * time_offset);
    }

    /// Expected run time in microseconds, by the stated cost or else the mean of the class. Before the first
    /// run a share of the latency objective is assumed, as a new server may be slow.
    pub fn expected(&self, request: &Request, settings: &Settings) -> f64 {
        let objective = settings.classes[request.class].latency_objective as f64;
        let mean = self.class_means.get(&request.class).copied().unwrap_or(objective * WAIT_SHARE);
        request.cost.and_then(|cost| self.predict(cost)).unwrap_or(mean)
    }

    /// The run time by the regression on the cost; none before the first run with a stated cost.
    fn predict(&self, cost: f64) -> Option<f64> {
        let slope = self.covariance / self.cost_variance;
        let slope = if self.cost_variance > 0.0 { slope.max(0.0) } else { 0.0 };
        let min_time = self.mean_time * MIN_RUN_SHARE;
        self.mean_cost.map(|mean| (self.mean_time + slope * (cost - mean)).max(min_time))
    }
}
