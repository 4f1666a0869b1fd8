//! Series of measurements over a size, their linear fit and their report; timing and memory of this process.

use {
    serde::Serialize,
    std::{
        fmt::{self, Display, Formatter},
        fs,
        hint::black_box,
        time::Instant,
    },
};

/// Size of a memory page on the machines that run the benchmarks, in bytes.
const PAGE_BYTES: f64 = 4_096.0;

/// One measurement.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Point {
    /// Size at which the measurement was taken.
    pub size: f64,
    /// Measured value.
    pub value: f64,
}

/// Measurements of one quantity at several sizes.
#[derive(Clone, Debug, Serialize)]
pub struct Series {
    /// Quantity that was measured.
    pub name: String,
    /// Unit of the sizes, such as `members`.
    pub size_unit: String,
    /// Unit of the values.
    pub unit: String,
    /// Measurements in ascending order of size.
    pub points: Vec<Point>,
}

/// Linear fit of a series.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Fit {
    /// Value at size 0.
    pub base: f64,
    /// Growth of the value per unit of size.
    pub slope: f64,
    /// Largest absolute deviation of a measurement from the line, relative to the largest absolute measurement.
    pub deviation: f64,
}

/// All series of one benchmark run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Series in the order of measurement.
    pub series: Vec<Series>,
}

impl Series {
    /// Creates an empty series.
    pub fn new(name: &str, size_unit: &str, unit: &str) -> Series {
        Series {
            name: name.to_owned(),
            size_unit: size_unit.to_owned(),
            unit: unit.to_owned(),
            points: Vec::new(),
        }
    }

    /// Adds a measurement.
    pub fn push(&mut self, size: usize, value: f64) {
        let size = size as f64;
        self.points.push(Point { size, value });
    }

    /// Fits a line by least squares; `None` with fewer than three measurements.
    pub fn fit(&self) -> Option<Fit> {
        if self.points.len() < 3 {
            return None;
        }
        let count = self.points.len() as f64;
        let mean_size = self.points.iter().map(|point| point.size).sum::<f64>() / count;
        let mean_value = self.points.iter().map(|point| point.value).sum::<f64>() / count;
        let product = |point: &Point| (point.size - mean_size) * (point.value - mean_value);
        let square = |point: &Point| (point.size - mean_size).powi(2);
        let slope = self.points.iter().map(product).sum::<f64>()
            / self.points.iter().map(square).sum::<f64>();
        let base = mean_value - slope * mean_size;
        let distance = |point: &Point| (point.value - base - slope * point.size).abs();
        let worst = self.points.iter().map(distance).fold(0.0, f64::max);
        let largest = self
            .points
            .iter()
            .map(|point| point.value.abs())
            .fold(0.0, f64::max);
        let deviation = if largest > 0.0 { worst / largest } else { 0.0 };
        Some(Fit {
            base,
            slope,
            deviation,
        })
    }
}

impl Display for Series {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "{} [{}]", self.name, self.unit)?;
        for point in &self.points {
            writeln!(
                formatter,
                "  {:>10} {:<12} {:>14.3}",
                point.size, self.size_unit, point.value
            )?;
        }
        let Some(fit) = self.fit() else {
            return Ok(());
        };
        let Fit {
            base,
            slope,
            deviation,
        } = fit;
        let percent = deviation * 100.0;
        writeln!(
            formatter,
            "  fit: {base:.3} + {slope:.6} per {}, worst deviation {percent:.1} %",
            self.size_unit
        )
    }
}

impl Report {
    /// Prints a series and adds it to the report.
    pub fn push(&mut self, series: Series) {
        println!("{series}");
        self.series.push(series);
    }

    /// Writes all series and their fits as JSON.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be written.
    pub fn save(&self, path: &std::path::Path) -> std::io::Result<()> {
        let with_fit =
            |series: &Series| serde_json::json!({ "series": series, "fit": series.fit() });
        let values: Vec<serde_json::Value> = self.series.iter().map(with_fit).collect();
        fs::write(path, serde_json::to_vec_pretty(&values)?)
    }
}

/// Returns the mean duration of a call in nanoseconds.
pub fn nanoseconds_per_call<T>(calls: u64, mut call: impl FnMut(u64) -> T) -> f64 {
    let start = Instant::now();
    for index in 0..calls {
        black_box(call(black_box(index)));
    }
    start.elapsed().as_nanos() as f64 / calls as f64
}

/// Returns the resident memory of this process in bytes, or 0 if `/proc/self/statm` cannot be read.
pub fn resident_bytes() -> f64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|field| field.parse::<f64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
