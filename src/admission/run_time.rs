//! Run times in microseconds: means by class, and an online linear regression on the stated cost.

use super::*;

#[derive(Default)]
pub struct RunTimeModel {
    pub class_means: BTreeMap<usize, f64>,
    mean_cost: Option<f64>,
    mean_time: f64,
    cost_variance: f64,
    covariance: f64,
}

impl RunTimeModel {
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

    /// Expected run time. While nothing is known a new server may be slow: a share of the objective.
    pub fn expected(&self, request: &Request, settings: &Settings) -> f64 {
        let objective = settings.classes[request.class].latency_objective as f64;
        let mean = self.class_means.get(&request.class).copied().unwrap_or(objective * WAIT_SHARE);
        request.cost.and_then(|cost| self.predict(cost)).unwrap_or(mean)
    }

    fn predict(&self, cost: f64) -> Option<f64> {
        let slope = self.covariance / self.cost_variance;
        let slope = if self.cost_variance > 0.0 { slope.max(0.0) } else { 0.0 };
        let least = self.mean_time * MIN_RUN_SHARE;
        self.mean_cost.map(|mean| (self.mean_time + slope * (cost - mean)).max(least))
    }
}
