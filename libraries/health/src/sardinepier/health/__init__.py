"""Evidence per target, change detection, ejection under the floor, readmission."""
